package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.tamarackfold.transport.ResponseWriter;

/** Sends the events of a stream to the caller as they arrive, each one whole. */
final class EventStreamRelay implements ResponseRelay {
    /** Bytes waiting for a slow caller at which the endpoint is no longer read. */
    private static final long PAUSE_BYTES = 256 * 1024;

    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final TurnState turn;
    private final Consumer<Boolean> flowControl;
    private final EventParser parser = new EventParser();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private final ResponseWriter writer;
    private int events;
    private boolean started;
    private boolean paused;

    EventStreamRelay(
            HttpServerExchange exchange,
            int status,
            HeaderMap headers,
            TurnState turn,
            Consumer<Boolean> flowControl) {
        this.exchange = exchange;
        this.status = status;
        this.headers = headers;
        this.turn = turn;
        this.flowControl = flowControl;
        this.writer = new ResponseWriter(exchange, this::written);
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        for (EventParser.Event event : parser.feed(bytes)) {
            events++;
            if (turn.keepsHistory()) {
                data.writeBytes(event.data());
            }
            start();
            writer.write(event.bytes());
        }
        if (!paused && writer.pendingBytes() > PAUSE_BYTES) {
            paused = true;
            flowControl.accept(true);
        }
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        exchange.setStatusCode(status);
        EndToEndHeaders.copyForCaller(headers, exchange.getResponseHeaders());
        if (exchange.isHttp11()) {
            // Without chunks, the end of a closed connection would make a broken stream look whole.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    private void written() {
        if (paused && writer.pendingBytes() == 0) {
            paused = false;
            flowControl.accept(false);
        }
    }

    /** Returns the number of events sent to the caller. */
    int events() {
        return events;
    }

    /** Returns the data of all events, as the next turn of the conversation contains it. */
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
        return parser.isBetweenEvents();
    }

    @Override
    public void finish() {
        start();
        writer.end();
    }

    @Override
    public void abort() {
        writer.abort();
    }
}
