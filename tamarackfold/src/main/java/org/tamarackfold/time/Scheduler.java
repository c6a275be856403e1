package org.tamarackfold.time;

import java.time.Duration;

/** Monotonic time, and actions that run later. */
public interface Scheduler {
    /** Returns the monotonic time, in ns. */
    long nanoTime();

    /** Runs an action once after a delay. */
    void after(Duration delay, Runnable action);
}
