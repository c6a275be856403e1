package org.tamarackfold.node.runtime;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Blocks the calling thread, such as the shutdown hook, until a condition holds. */
final class PollingWait {
    /** Interval between two checks; short compared with a shutdown, which takes seconds. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private PollingWait() {}

    /** Returns when the condition holds, the timeout has passed or the thread is interrupted. */
    static void until(BooleanSupplier condition, Duration timeout) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - deadlineNanos < 0 && !condition.getAsBoolean()) {
            try {
                Thread.sleep(POLL_INTERVAL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
