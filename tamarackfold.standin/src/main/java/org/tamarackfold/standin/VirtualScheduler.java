package org.tamarackfold.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.tamarackfold.time.Scheduler;

/** Scheduler whose time advances only when it is told to; runs on one thread. */
public final class VirtualScheduler implements Scheduler, InstantSource {
    private record Entry(long at, long order, Runnable action) {}

    private final PriorityQueue<Entry> queue =
            new PriorityQueue<>(Comparator.comparingLong(Entry::at).thenComparing(Entry::order));
    private long now = Duration.ofDays(1).toNanos();
    private long order;

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochSecond(0, now);
    }

    @Override
    public void after(Duration delay, Runnable action) {
        queue.add(new Entry(now + delay.toNanos(), order++, action));
    }

    /** Advances the time, running the actions that become due. */
    public void advance(Duration duration) {
        long end = now + duration.toNanos();
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Entry next = queue.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = end;
    }
}
