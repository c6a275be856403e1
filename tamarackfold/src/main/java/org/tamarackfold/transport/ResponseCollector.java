package org.tamarackfold.transport;

import io.undertow.util.HeaderMap;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Collects a whole response. */
public final class ResponseCollector implements ResponseListener {
    /**
     * A whole response.
     *
     * @param status the status code
     * @param body the body
     */
    public record Response(int status, byte[] body) {}

    private final Consumer<Either<TransportFailure, Response>> result;
    private final BodyBuffer body = new BodyBuffer();
    private int status;

    /** Creates a collector that passes on the response, or why there is none. */
    public ResponseCollector(Consumer<Either<TransportFailure, Response>> result) {
        this.result = result;
    }

    @Override
    public void onHead(int code, HeaderMap headers) {
        status = code;
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        body.append(bytes);
    }

    @Override
    public void onEnd() {
        result.accept(Either.right(new Response(status, body.toByteArray())));
    }

    @Override
    public void onFailure(TransportFailure failure) {
        result.accept(Either.left(failure));
    }
}
