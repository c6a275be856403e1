package org.tamarackfold.caller.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.operator.Route;
import org.tamarackfold.time.Durations;
import org.xnio.XnioIoThread;

/** The deadline of one call, with its timer on the I/O thread of the caller's connection. */
final class CallDeadline {
    /** Timeout of a call that names none; a shorter timeout of its route takes precedence. */
    private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(5);

    /** Remaining time below which no further attempt is made; the deadline timer is due. */
    private static final long SHORTEST_ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Time after the deadline for the store of a turn whose response has ended; with the end of the
     * response to the caller it stays below 0.5 s.
     */
    private static final long STORE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Time for a store below which none is begun: a record may exist that nobody confirms. */
    private static final long SHORTEST_STORE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final long deadlineNanos;
    private XnioIoThread.Key timer;

    CallDeadline(CallDescription call, Route route, long arrivedAtNanos) {
        Duration timeout =
                Durations.min(call.timeout().getOrElse(DEFAULT_TIMEOUT), route.timeout());
        deadlineNanos = arrivedAtNanos + timeout.toNanos();
    }

    /** Starts the timer; returns false, without a timer, if the deadline has passed. */
    boolean start(XnioIoThread thread, Runnable onDeadline) {
        // Rounded up: a timer of the whole milliseconds left would end the call before its
        // deadline.
        long remainingMillis =
                Math.ceilDiv(deadlineNanos - System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(1));
        if (remainingMillis <= 0) {
            return false;
        }
        timer = thread.executeAfter(onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
        return true;
    }

    void stop() {
        if (timer != null) {
            timer.remove();
        }
    }

    /** Returns the deadline, in ns of {@link System#nanoTime()}. */
    long nanos() {
        return deadlineNanos;
    }

    /** Returns whether too little time is left for another attempt. */
    boolean isDue(long nowNanos) {
        return deadlineNanos - nowNanos < SHORTEST_ATTEMPT_NANOS;
    }

    /**
     * Returns the time for the store of a turn whose response has ended, which may last beyond the
     * deadline; zero when too little is left to begin one.
     */
    Duration timeToStore(long nowNanos) {
        long remainingNanos = deadlineNanos + STORE_GRACE_NANOS - nowNanos;
        return remainingNanos < SHORTEST_STORE_NANOS
                ? Duration.ZERO
                : Duration.ofNanos(remainingNanos);
    }

    /** Starts the timer again, for the end of the time for a store, after it has run. */
    void startGrace(XnioIoThread thread, Runnable onEnd) {
        long remainingMillis = timeToStore(System.nanoTime()).toMillis();
        timer = thread.executeAfter(onEnd, Math.max(1, remainingMillis), TimeUnit.MILLISECONDS);
    }

    /** Returns the time until the deadline, at least 1 ms: timeouts are given in whole ms. */
    Duration remainingTime() {
        return Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime()));
    }
}
