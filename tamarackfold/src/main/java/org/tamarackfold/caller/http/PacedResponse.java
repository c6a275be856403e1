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
     * Memory of the queue for a slow caller, in bytes, above which reading from the endpoint pauses
     * until the queue is empty.
     */
    private static final long PAUSE_THRESHOLD_BYTES = 256 * 1024;

    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final Consumer<Boolean> setReadingPaused;
    private final ResponseWriter writer;
    private final MessageMemory.Account account;
    private long keptBytes;
    private boolean started;
    private boolean paused;

    PacedResponse(
            HttpServerExchange exchange,
            int status,
            HeaderMap headers,
            MessageMemory memory,
            Consumer<Boolean> setReadingPaused) {
        this.exchange = exchange;
        this.status = status;
        this.headers = headers;
        this.setReadingPaused = setReadingPaused;
        this.writer = new ResponseWriter(exchange, this::onQueueEmpty);
        this.account = memory.open();
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

    /**
     * Accounts for the queue and for the bytes that the relay keeps beside it. Pauses reading from
     * the endpoint while the queue is long, or the responses of this host keep too many bytes.
     *
     * @return whether the relay may keep so many bytes
     */
    boolean keep(long bytes) {
        keptBytes = bytes;
        boolean granted = account.resize(keptBytes + writer.queuedMemory());
        long threshold = granted ? PAUSE_THRESHOLD_BYTES : MessageMemory.GUARANTEED_BYTES;
        if (!paused && writer.queuedMemory() > threshold) {
            paused = true;
            setReadingPaused.accept(true);
        }
        return granted || keptBytes <= MessageMemory.GUARANTEED_BYTES;
    }

    private void onQueueEmpty() {
        if (paused && writer.queuedMemory() == 0) {
            account.resize(keptBytes);
            paused = false;
            setReadingPaused.accept(false);
        }
    }

    /** Gives back the memory of the response, which keeps nothing any more. */
    void release() {
        account.close();
    }

    void end() {
        writer.end();
    }

    void abort() {
        writer.abort();
    }
}
