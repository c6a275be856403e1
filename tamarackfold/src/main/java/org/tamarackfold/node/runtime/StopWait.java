package org.tamarackfold.node.runtime;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits on the thread that stops a host. */
final class StopWait {
    /** Pause between two checks; short against the seconds of a stop. */
    private static final Duration CHECK = Duration.ofMillis(50);

    private StopWait() {}

    /** Returns when the condition holds, the time is over or the thread is interrupted. */
    static void until(BooleanSupplier condition, Duration limit) {
        long latest = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() - latest < 0 && !condition.getAsBoolean()) {
            try {
                Thread.sleep(CHECK);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
