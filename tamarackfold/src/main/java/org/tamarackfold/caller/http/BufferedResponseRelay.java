package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.tamarackfold.transport.BodyBuffer;
import org.tamarackfold.transport.ResponseWriter;
import org.xnio.IoUtils;

/**
 * Buffers a response and sends it to the caller when it is complete, so that a call whose response
 * is truncated can be retried. A response that outgrows the buffer is sent on as it arrives, at the
 * pace of the caller.
 */
final class BufferedResponseRelay implements ResponseRelay {
    /** Size up to which a response is buffered. */
    private static final int MAXIMUM_BUFFERED_BYTES = 256 * 1024;

    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final Consumer<Boolean> setReadingPaused;
    private final ResponseWriter writer;
    private final BodyBuffer body = new BodyBuffer();
    private boolean started;
    private boolean paused;

    BufferedResponseRelay(
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

    @Override
    public void onBody(ByteBuffer bytes) {
        body.append(bytes);
        if (!started && body.size() <= MAXIMUM_BUFFERED_BYTES) {
            return;
        }
        startResponse();
        writer.write(body.drain());
        if (!paused && writer.pendingBytes() > MAXIMUM_BUFFERED_BYTES) {
            paused = true;
            setReadingPaused.accept(true);
        }
    }

    private void startResponse() {
        if (started) {
            return;
        }
        started = true;
        exchange.setStatusCode(status);
        EndToEndHeaders.copyForCaller(headers, exchange.getResponseHeaders());
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        if (length != null) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
        } else if (exchange.isHttp11()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    private void onQueueEmpty() {
        if (paused && writer.pendingBytes() == 0) {
            paused = false;
            setReadingPaused.accept(false);
        }
    }

    @Override
    public int status() {
        return status;
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean isComplete() {
        return true;
    }

    @Override
    public boolean isMalformed() {
        return false;
    }

    @Override
    public void finish() {
        if (started) {
            writer.end();
            return;
        }
        started = true;
        exchange.setStatusCode(status);
        EndToEndHeaders.copyForCaller(headers, exchange.getResponseHeaders());
        ResponseWriter.sendBody(exchange, body.drain());
    }

    @Override
    public void abort() {
        IoUtils.safeClose(exchange.getConnection());
    }
}
