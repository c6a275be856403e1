package org.tamarackfold.peer;

/**
 * The number of requests that may be in flight to one host. It grows slowly while the host replies
 * in time and is halved when requests time out, so that a host that has become slow receives no
 * more than it can answer within the timeouts. Not thread-safe.
 */
final class ConcurrencyLimit {
    /** Limit at the start; a host at its usual load has fewer requests in flight. */
    private static final double INITIAL = 32;

    /** Lower bound; enough requests to notice that a host has become faster. */
    private static final double MINIMUM = 4;

    /** Upper bound, which also bounds the connections to one host. */
    private static final double MAXIMUM = 128;

    private static final double DECREASE_FACTOR = 0.5;

    private double limit = INITIAL;
    private boolean decreased;
    private long decreasedAtNanos;

    /** Returns the number of requests that may be in flight. */
    int current() {
        return (int) limit;
    }

    /**
     * Returns the number of requests with new work that may wait. Not below the initial limit: the
     * limit is low after an interruption, and rises faster than these requests wait.
     */
    int maximumWaiting() {
        return (int) Math.max(INITIAL, limit);
    }

    /** Raises the limit by one for each full window of replies, and faster after a decrease. */
    void onReply() {
        double increase = limit < INITIAL ? 0.5 : 1 / limit;
        limit = Math.min(MAXIMUM, limit + increase);
    }

    /**
     * Halves the limit, unless the request was sent before the last decrease: it says nothing about
     * the load since then.
     */
    void onTimeout(long sentAtNanos, long nowNanos) {
        if (decreased && sentAtNanos - decreasedAtNanos < 0) {
            return;
        }
        decreased = true;
        decreasedAtNanos = nowNanos;
        limit = Math.max(MINIMUM, limit * DECREASE_FACTOR);
    }
}
