package org.tamarackfold.node.runtime;

import java.time.Duration;
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

    private final Scheduler scheduler;
    private final HostMetrics metrics;

    EventLoopMonitor(Scheduler scheduler, HostMetrics metrics) {
        this.scheduler = scheduler;
        this.metrics = metrics;
    }

    /** Starts the periodic measurement, which lasts as long as the scheduler. */
    void start() {
        long dueNanos = scheduler.nanoTime() + INTERVAL.toNanos();
        scheduler.after(INTERVAL, () -> measure(dueNanos));
    }

    private void measure(long dueNanos) {
        long delayNanos = Math.max(0, scheduler.nanoTime() - dueNanos);
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
