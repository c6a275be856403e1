package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Sends the events of a stream to the caller as they arrive; an incomplete event is not sent. */
final class EventStreamRelay implements ResponseRelay {
    /** Upper bound of the output of one turn that is kept for the history. */
    private static final int MAXIMUM_OUTPUT_BYTES = 4 * 1024 * 1024;

    private final TurnState turn;
    private final long maximumEvents;
    private final PacedResponse response;
    private final EventParser parser = new EventParser();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private int eventCount;
    private boolean memoryGranted = true;
    private boolean hasTooManyEvents;

    /**
     * Creates a relay.
     *
     * @param maximumEvents the events that the stream may have; further ones would be charged to a
     *     token budget that has not been reserved for them
     */
    EventStreamRelay(PacedResponse response, TurnState turn, long maximumEvents) {
        this.response = response;
        this.turn = turn;
        this.maximumEvents = maximumEvents;
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        for (EventParser.Event event : parser.feed(bytes)) {
            if (eventCount == maximumEvents) {
                hasTooManyEvents = true;
                return;
            }
            eventCount++;
            if (turn.keepsHistory()) {
                data.writeBytes(event.data());
            }
            response.start(Option.none());
            response.write(event.bytes());
        }
        memoryGranted = response.keep(parser.pendingBytes() + data.size());
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
        return response.status();
    }

    @Override
    public boolean started() {
        return response.started();
    }

    @Override
    public boolean isComplete() {
        return parser.isAtEventBoundary();
    }

    @Override
    public boolean isTooLong() {
        return parser.isOverflowing()
                || data.size() > MAXIMUM_OUTPUT_BYTES
                || hasTooManyEvents
                || !memoryGranted;
    }

    @Override
    public void finish() {
        response.start(Option.none());
        response.write(parser.trailingBytes());
        response.end();
    }

    @Override
    public void abort() {
        response.abort();
    }

    @Override
    public void release() {
        response.release();
    }
}
