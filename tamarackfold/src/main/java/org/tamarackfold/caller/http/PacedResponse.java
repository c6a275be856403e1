package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.vavr.control.Option;
import java.util.function.Consumer;
import org.tamarackfold.transport.ResponseWriter;

/**
 * A response that is sent to the caller while its endpoint still produces it. Reading from the
 * endpoint pauses while the caller is slow, so that the queue stays bounded.
 */
final class PacedResponse {
    /**
     * Bytes queued for a slow caller above which reading from the endpoint pauses until the queue
     * is empty.
     */
    private static final long PAUSE_THRESHOLD_BYTES = 256 * 1024;

    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final Consumer<Boolean> setReadingPaused;
    private final ResponseWriter writer;
    private boolean started;
    private boolean paused;

    PacedResponse(
            HttpServerExchange exchange,
            int status,
            HeaderMap headers,
            Consumer<Boolean> setReadingPaused) {
        this.exchange = exchange;
        this.status = status;
        this.headers = headers;
        this.setReadingPaused = setReadingPaused;
        this.writer = new ResponseWriter(exchange, this::onQueueEmpty);
    }

    int status() {
        return status;
    }

    boolean started() {
        return started;
    }

    /**
     * Sends the head before the first part. Its coding shows the caller when the body is truncated:
     * a length, or chunks; without either, the end of a truncated body would look like any other.
     *
     * @param length the Content-Length; none when it is not known
     */
    void start(Option<String> length) {
        if (started) {
            return;
        }
        started = true;
        exchange.setStatusCode(status);
        EndToEndHeaders.copyForCaller(headers, exchange.getResponseHeaders());
        if (length.isDefined()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length.get());
        } else if (exchange.isHttp11()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    void write(byte[] bytes) {
        writer.write(bytes);
    }

    /** Pauses reading from the endpoint when too many bytes are queued. */
    void pauseIfQueueIsLong() {
        if (!paused && writer.pendingBytes() > PAUSE_THRESHOLD_BYTES) {
            paused = true;
            setReadingPaused.accept(true);
        }
    }

    private void onQueueEmpty() {
        if (paused && writer.pendingBytes() == 0) {
            paused = false;
            setReadingPaused.accept(false);
        }
    }

    void end() {
        writer.end();
    }

    void abort() {
        writer.abort();
    }
}
