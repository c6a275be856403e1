package org.tamarackfold.caller.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits an event stream into whole events; an unfinished event is held back. */
final class EventParser {
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * An event.
     *
     * @param bytes all bytes of the event with the empty line that ends it
     */
    record Event(byte[] bytes) {
        /** Returns the data lines, each followed by a line feed; empty without data. */
        byte[] data() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            int start = 0;
            for (int i = 0; i < bytes.length; i++) {
                if (bytes[i] == '\n') {
                    appendData(out, start, i);
                    start = i + 1;
                }
            }
            return out.toByteArray();
        }

        private void appendData(ByteArrayOutputStream out, int start, int end) {
            int stop = end > start && bytes[end - 1] == '\r' ? end - 1 : end;
            if (stop - start < DATA.length || !startsWithData(start)) {
                return;
            }
            int from = start + DATA.length;
            if (from < stop && bytes[from] == ' ') {
                from++;
            }
            out.write(bytes, from, stop - from);
            out.write('\n');
        }

        private boolean startsWithData(int start) {
            for (int i = 0; i < DATA.length; i++) {
                if (bytes[start + i] != DATA[i]) {
                    return false;
                }
            }
            return true;
        }
    }

    /** Takes bytes of the stream and returns the events that they complete. */
    List<Event> feed(ByteBuffer bytes) {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            pending.write(next);
            if (next == '\n') {
                if (lineEmpty && pending.size() > 2) {
                    events.add(new Event(pending.toByteArray()));
                    pending.reset();
                }
                lineEmpty = true;
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
        return events;
    }

    /** Tells whether the stream ended between two events. */
    boolean isBetweenEvents() {
        return pending.size() == 0;
    }
}
