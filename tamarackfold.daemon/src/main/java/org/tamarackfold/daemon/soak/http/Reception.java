package org.tamarackfold.daemon.soak.http;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tamarackfold.transport.ExchangeHandle;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseHead;
import org.tamarackfold.transport.ResponseListener;
import org.tamarackfold.transport.TransportFailure;

/** What a caller receives in response to one request. */
final class Reception implements ResponseListener {
    /** Bytes after which a slow reader pauses. */
    private static final int BYTES_PER_PAUSE = 16 * 1024;

    private final IoRuntime runtime;
    private final Duration pause;
    private final CompletableFuture<ExchangeHandle> handle = new CompletableFuture<>();
    private final CompletableFuture<Either<TransportFailure, ResponseHead>> end =
            new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ResponseHead head;
    private int bytesSincePause;

    private Reception(IoRuntime runtime, Duration pause) {
        this.runtime = runtime;
        this.pause = pause;
    }

    /**
     * Sends a request.
     *
     * @param pause the pause after each 16 KiB of the body, so that its sender has to wait; zero to
     *     read without pauses
     */
    static Reception start(
            IoRuntime runtime, PooledHttpClient client, HttpRequest request, Duration pause) {
        Reception reception = new Reception(runtime, pause);
        reception.handle.complete(client.send(request, reception));
        return reception;
    }

    /**
     * Waits for the end of the response, and closes its connection when it does not come in time.
     *
     * @return the head of a complete response, or on the left why there is none
     */
    Either<TransportFailure, ResponseHead> await(long timeoutMillis)
            throws InterruptedException, TimeoutException {
        try {
            return end.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            handle.join().cancel();
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException("never completed with an exception", e);
        }
    }

    /** Returns the part of the body that has arrived. */
    String body() {
        return body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void onHead(ResponseHead received) {
        head = received;
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        bytesSincePause += bytes.remaining();
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        body.writeBytes(part);
        if (!pause.isZero() && bytesSincePause >= BYTES_PER_PAUSE) {
            bytesSincePause = 0;
            handle.join().setReadingPaused(true);
            runtime.after(pause, () -> handle.join().setReadingPaused(false));
        }
    }

    @Override
    public void onEnd() {
        end.complete(Either.right(head));
    }

    @Override
    public void onFailure(TransportFailure failure) {
        end.complete(Either.left(failure));
    }
}
