package org.tamarackfold.daemon.soak;

import java.util.ArrayDeque;

/** The calls of one customer that endpoints began to run in the last 5 s. Used under a lock. */
final class CallWindow {
    /** Length of the sliding windows of limits, in seconds. */
    static final int SECONDS = 5;

    static final long NANOS = SECONDS * 1_000_000_000L;

    /** Share of a limit by which a window may exceed it. */
    private static final double OVERSHOOT = 0.1;

    /** Calls by which a window may exceed its limit besides. */
    private static final int TOLERANCE = 20;

    private final double maximumCalls;
    private final ArrayDeque<Long> beginnings = new ArrayDeque<>();

    private boolean exceeded;

    CallWindow(Customer customer) {
        maximumCalls = (customer.rate() * SECONDS + customer.burst()) * (1 + OVERSHOOT) + TOLERANCE;
    }

    /** Adds a call; returns whether it is the first one above the maximum of its window. */
    boolean add(long nowNanos) {
        beginnings.addLast(nowNanos);
        while (nowNanos - beginnings.getFirst() >= NANOS) {
            beginnings.removeFirst();
        }
        boolean exceededBefore = exceeded;
        exceeded = beginnings.size() > maximumCalls;
        return exceeded && !exceededBefore;
    }

    @Override
    public String toString() {
        return "%d calls in %d s, at most %.1f".formatted(beginnings.size(), SECONDS, maximumCalls);
    }
}
