package org.tamarackfold.node.runtime;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.time.Scheduler;

/**
 * Measures how late a periodic timer runs. A large delay means that the I/O thread has more work
 * than its share of the processor covers; timeouts then pass although the other side has replied.
 */
final class EventLoopMonitor {
    private static final StructuredLog LOG = StructuredLog.of("host");

    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** Delay from which a line is logged; the shortest timeout between hosts is 250 ms. */
    private static final Duration LOGGED_DELAY = Duration.ofMillis(100);

    /** Delay from which other hosts and endpoints may have taken this host for lost. */
    private static final Duration STANDSTILL = Duration.ofSeconds(1);

    private final Scheduler scheduler;
    private final InstantSource clock;
    private final HostMetrics metrics;
    private volatile Option<Long> standstillEndNanos = Option.none();

    EventLoopMonitor(Scheduler scheduler, InstantSource clock, HostMetrics metrics) {
        this.scheduler = scheduler;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Starts the periodic measurement, which lasts as long as the scheduler. */
    void start() {
        long dueNanos = scheduler.nanoTime() + INTERVAL.toNanos();
        long dueMillis = clock.millis() + INTERVAL.toMillis();
        scheduler.after(INTERVAL, () -> measure(dueNanos, dueMillis));
    }

    /** Returns whether a standstill of this process has ended since a time. */
    boolean stoodStillSince(long nanos) {
        return standstillEndNanos.exists(end -> end - nanos >= 0);
    }

    /** The monotonic clock leaves out the time in which the machine was suspended. */
    private void noteStandstill(long delayNanos, long dueMillis) {
        long delayMillis = Math.max(delayNanos / 1_000_000, clock.millis() - dueMillis);
        if (delayMillis >= STANDSTILL.toMillis()) {
            standstillEndNanos = Option.some(scheduler.nanoTime());
        }
    }

    private void measure(long dueNanos, long dueMillis) {
        long delayNanos = Math.max(0, scheduler.nanoTime() - dueNanos);
        noteStandstill(delayNanos, dueMillis);
        metrics.recordEventLoopDelay(delayNanos / 1e9);
        if (delayNanos > LOGGED_DELAY.toNanos()) {
            LOG.event("event_loop_delayed")
                    .with("ms", Duration.ofNanos(delayNanos).toMillis())
                    .with("open_peer_requests", metrics.openPeerRequests())
                    .info();
        }
        start();
    }
}
