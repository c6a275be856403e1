package org.tamarackfold.transport;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Buffers a response until it is complete. */
public final class ResponseCollector implements ResponseListener {
    /**
     * A complete response.
     *
     * @param status the HTTP status code
     * @param body the body; empty when there was none
     */
    public record Response(int status, byte[] body) {}

    private final Consumer<Either<TransportFailure, Response>> result;
    private final BodyBuffer body = new BodyBuffer();
    private int status;

    /**
     * Creates a collector for one response.
     *
     * @param result receives the response or the failure, once, on an I/O thread
     */
    public ResponseCollector(Consumer<Either<TransportFailure, Response>> result) {
        this.result = result;
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
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
