package org.tamarackfold.caller.http;

import java.util.Locale;
import java.util.function.Supplier;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;

/**
 * The read at the deadline of a call, and what it found of the response. Bytes that arrived before
 * the deadline are read then only when the I/O thread was delayed; otherwise a readiness event of
 * the connection was lost. Used on one I/O thread.
 */
final class DeadlineRead {
    /** What the read found. */
    enum Found {
        /** The head or a part of the body, but not the end. */
        PART,
        /** The end of the response. */
        END,
        /** The end of the attempt without a complete response. */
        FAILURE
    }

    private final HostMetrics metrics;
    private final Supplier<StructuredLog.Line> line;
    private boolean isActive;
    private boolean foundPart;
    private long timerDelayMillis;

    /**
     * Creates a read that has not begun.
     *
     * @param line starts the log line {@code read_at_deadline} of the call
     */
    DeadlineRead(HostMetrics metrics, Supplier<StructuredLog.Line> line) {
        this.metrics = metrics;
        this.line = line;
    }

    /**
     * Begins the read.
     *
     * @param timerDelayNanos how late the deadline timer ran on the I/O thread
     */
    void begin(long timerDelayNanos) {
        isActive = true;
        foundPart = false;
        timerDelayMillis = Math.max(0, timerDelayNanos / 1_000_000);
    }

    /** Notes what has arrived; has no effect outside of the read. */
    void onArrival(Found found) {
        if (!isActive) {
            return;
        }
        if (found == Found.PART) {
            foundPart = true;
            return;
        }
        record(found);
        isActive = false;
    }

    /** Ends the read. */
    void end() {
        if (isActive && foundPart) {
            record(Found.PART);
        }
        isActive = false;
    }

    private void record(Found found) {
        String label = found.name().toLowerCase(Locale.ROOT);
        metrics.recordDeadlineRead(label);
        line.get().with("found", label).with("thread_delay_ms", timerDelayMillis).info();
    }
}
