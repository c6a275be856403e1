package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.tamarackfold.transport.ResponseWriter;

/** Sends the events of a stream to the caller as they arrive; an incomplete event is not sent. */
final class EventStreamRelay implements ResponseRelay {
    /**
     * Bytes queued for a slow caller above which reading from the endpoint pauses until the queue
     * is empty.
     */
    private static final long PAUSE_THRESHOLD_BYTES = 256 * 1024;

    /** Upper bound of the output of one turn that is kept for the history. */
    private static final int MAXIMUM_OUTPUT_BYTES = 4 * 1024 * 1024;

    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final TurnState turn;
    private final Consumer<Boolean> setReadingPaused;
    private final EventParser parser = new EventParser();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private final ResponseWriter writer;
    private int eventCount;
    private boolean started;
    private boolean paused;

    EventStreamRelay(
            HttpServerExchange exchange,
            int status,
            HeaderMap headers,
            TurnState turn,
            Consumer<Boolean> setReadingPaused) {
        this.exchange = exchange;
        this.status = status;
        this.headers = headers;
        this.turn = turn;
        this.setReadingPaused = setReadingPaused;
        this.writer = new ResponseWriter(exchange, this::onQueueEmpty);
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        for (EventParser.Event event : parser.feed(bytes)) {
            eventCount++;
            if (turn.keepsHistory()) {
                data.writeBytes(event.data());
            }
            startResponse();
            writer.write(event.bytes());
        }
        if (!paused && writer.pendingBytes() > PAUSE_THRESHOLD_BYTES) {
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
        if (exchange.isHttp11()) {
            // Without chunked coding, a truncated stream would look complete when its connection
            // closes.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    private void onQueueEmpty() {
        if (paused && writer.pendingBytes() == 0) {
            paused = false;
            setReadingPaused.accept(false);
        }
    }

    /** Returns the number of events passed to the response writer; the last may still be queued. */
    int eventCount() {
        return eventCount;
    }

    /** Returns the data of all events, as the history contains it; empty if none is kept. */
    byte[] collectedData() {
        return data.toByteArray();
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
        return parser.isAtEventBoundary();
    }

    @Override
    public boolean isMalformed() {
        return parser.isOverflowing() || data.size() > MAXIMUM_OUTPUT_BYTES;
    }

    @Override
    public void finish() {
        startResponse();
        writer.write(parser.trailingBytes());
        writer.end();
    }

    @Override
    public void abort() {
        writer.abort();
    }
}
