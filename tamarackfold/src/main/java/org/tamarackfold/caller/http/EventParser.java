package org.tamarackfold.caller.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of server-sent events into events; an incomplete event is buffered. */
final class EventParser {
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    /** More than any event with a few tokens has; bytes without end are no event. */
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    /** A carriage return and a line feed. */
    private static final int MAXIMUM_LINE_END_BYTES = 2;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineIsEmpty = true;

    /**
     * A complete event.
     *
     * @param bytes all bytes of the event, including the empty line that ends it
     */
    record Event(byte[] bytes) {
        /**
         * Returns the values of the data fields, each followed by a line feed; empty without any.
         */
        byte[] data() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            int lineStart = 0;
            for (int i = 0; i < bytes.length; i++) {
                if (bytes[i] == '\n') {
                    appendDataField(out, lineStart, i);
                    lineStart = i + 1;
                }
            }
            return out.toByteArray();
        }

        private void appendDataField(ByteArrayOutputStream out, int lineStart, int lineEnd) {
            int valueEnd =
                    lineEnd > lineStart && bytes[lineEnd - 1] == '\r' ? lineEnd - 1 : lineEnd;
            if (valueEnd - lineStart < DATA_FIELD.length || !startsWithDataField(lineStart)) {
                return;
            }
            int valueStart = lineStart + DATA_FIELD.length;
            if (valueStart < valueEnd && bytes[valueStart] == ' ') {
                valueStart++;
            }
            out.write(bytes, valueStart, valueEnd - valueStart);
            out.write('\n');
        }

        private boolean startsWithDataField(int lineStart) {
            for (int i = 0; i < DATA_FIELD.length; i++) {
                if (bytes[lineStart + i] != DATA_FIELD[i]) {
                    return false;
                }
            }
            return true;
        }
    }

    /** Consumes the next bytes of the stream and returns the events that they complete. */
    List<Event> feed(ByteBuffer bytes) {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            pending.write(next);
            if (next == '\n') {
                // With only one or two bytes pending, no field precedes the empty line: it ends no
                // event.
                if (lineIsEmpty && pending.size() > MAXIMUM_LINE_END_BYTES) {
                    events.add(new Event(pending.toByteArray()));
                    pending.reset();
                }
                lineIsEmpty = true;
            } else if (next != '\r') {
                lineIsEmpty = false;
            }
        }
        return events;
    }

    /** Returns the number of bytes of the incomplete event. */
    int pendingBytes() {
        return pending.size();
    }

    /** Returns whether the incomplete event is longer than any valid one. */
    boolean isOverflowing() {
        return pending.size() > MAXIMUM_EVENT_BYTES;
    }

    /**
     * Returns whether the bytes consumed so far end with a complete event, or with empty lines
     * after it.
     */
    boolean isAtEventBoundary() {
        return pending.size() == 0 || (lineIsEmpty && pending.size() <= MAXIMUM_LINE_END_BYTES);
    }

    /** Returns the bytes after the last complete event. */
    byte[] trailingBytes() {
        return pending.toByteArray();
    }
}
