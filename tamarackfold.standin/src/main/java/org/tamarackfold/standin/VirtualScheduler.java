package org.tamarackfold.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.tamarackfold.time.Scheduler;

/**
 * Scheduler with virtual time, which only {@link #advance} moves. Not thread-safe; actions run on
 * the thread that calls advance.
 */
public final class VirtualScheduler implements Scheduler, InstantSource {
    private record ScheduledAction(long dueNanos, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledAction::dueNanos)
                            .thenComparing(ScheduledAction::sequence));
    private long nowNanos = Duration.ofDays(1).toNanos();
    private long sequence;

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochSecond(0, nowNanos);
    }

    @Override
    public void after(Duration delay, Runnable action) {
        queue.add(new ScheduledAction(nowNanos + delay.toNanos(), sequence++, action));
    }

    /** Advances the time and runs the actions that become due, in the order of their due times. */
    public void advance(Duration duration) {
        long endNanos = nowNanos + duration.toNanos();
        while (!queue.isEmpty() && queue.peek().dueNanos() <= endNanos) {
            ScheduledAction next = queue.poll();
            nowNanos = Math.max(nowNanos, next.dueNanos());
            next.action().run();
        }
        nowNanos = endNanos;
    }
}
