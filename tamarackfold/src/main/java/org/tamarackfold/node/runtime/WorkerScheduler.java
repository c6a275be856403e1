package org.tamarackfold.node.runtime;

import java.time.Duration;
import org.tamarackfold.time.Scheduler;
import org.tamarackfold.transport.IoRuntime;

/** Scheduler that uses the monotonic system clock and runs actions on the I/O threads. */
final class WorkerScheduler implements Scheduler {
    private final IoRuntime runtime;

    WorkerScheduler(IoRuntime runtime) {
        this.runtime = runtime;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void after(Duration delay, Runnable action) {
        runtime.after(delay, action);
    }
}
