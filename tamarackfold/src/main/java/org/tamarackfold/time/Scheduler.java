package org.tamarackfold.time;

import java.time.Duration;

/** Monotonic clock and one-shot timers. */
public interface Scheduler {
    /** Returns the monotonic time, in ns; only differences are meaningful. */
    long nanoTime();

    /** Runs an action once after a delay; it cannot be cancelled. */
    void after(Duration delay, Runnable action);
}
