package org.tamarackfold.standin;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.time.Scheduler;

/** Scheduler in real time; runs all actions on one daemon thread. */
public final class ExecutorScheduler implements Scheduler {
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("executor-scheduler").factory());

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void after(Duration delay, Runnable action) {
        executor.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
