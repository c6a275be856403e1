package org.tamarackfold.peer;

import java.time.Duration;

/** Runs actions later. */
public interface Scheduler {
    /** Runs an action once after a delay. */
    void after(Duration delay, Runnable action);
}
