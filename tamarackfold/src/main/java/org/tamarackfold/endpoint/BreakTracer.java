package org.tamarackfold.endpoint;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Finds out why connections to endpoints broke during calls. An endpoint that has ended, one that
 * has lost a response, and a path that is cut look alike on the connection itself; a new connection
 * tells them apart. Breaks of one start of an endpoint share a trace. Thread-safe.
 */
public final class BreakTracer {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /** Delay of the first probe, by which a process that ends has closed its listener, too. */
    private static final Duration FIRST_PROBE_DELAY = Duration.ofMillis(25);

    /** Time within which what an endpoint sent before its end may still be read. */
    private static final Duration LATE_READ = Duration.ofMillis(15);

    /** Delay of the second probe: an endpoint that is alive does not refuse twice. */
    private static final Duration SECOND_PROBE_DELAY = Duration.ofMillis(50);

    /** Time after which a finished trace no longer answers for further breaks. */
    private static final Duration TRACE_LIFETIME = Duration.ofSeconds(1);

    private final TableLock lock = new TableLock(LockRank.REACHABILITY);
    private final Map<Incarnation, CompletableFuture<BreakCause>> traces = new HashMap<>();
    private final EndpointTable table;
    private final EndpointConnections connections;
    private final LongPredicate delayedSince;
    private final Scheduler scheduler;
    private final HostMetrics metrics;

    /**
     * Creates a tracer.
     *
     * @param delayedSince tells whether this host did not run for a while since a time, in ns of
     *     {@link System#nanoTime()}
     */
    public BreakTracer(
            EndpointTable table,
            EndpointConnections connections,
            LongPredicate delayedSince,
            Scheduler scheduler,
            HostMetrics metrics) {
        this.table = table;
        this.connections = connections;
        this.delayedSince = delayedSince;
        this.scheduler = scheduler;
        this.metrics = metrics;
    }

    /**
     * Traces a break that has just been seen. The future never fails.
     *
     * @param endpoint the registration by which the endpoint was selected
     * @param sentAtNanos when the call was sent there
     */
    public CompletableFuture<BreakCause> trace(EndpointRecord endpoint, long sentAtNanos) {
        CompletableFuture<BreakCause> own = new CompletableFuture<>();
        CompletableFuture<BreakCause> running =
                lock.withLock(() -> traces.putIfAbsent(Incarnation.of(endpoint), own));
        if (running != null) {
            return running;
        }
        long brokenAtNanos = scheduler.nanoTime();
        if (delayedSince.test(sentAtNanos)) {
            finish(endpoint, brokenAtNanos, own, new BreakCause.HostDelayed());
        } else if (!isInService(endpoint)) {
            finish(endpoint, brokenAtNanos, own, new BreakCause.Left());
        } else {
            scheduler.after(FIRST_PROBE_DELAY, () -> probe(endpoint, brokenAtNanos, own, false));
        }
        return own;
    }

    private boolean isInService(EndpointRecord endpoint) {
        return table.available(endpoint.id(), scheduler.nanoTime()).isDefined();
    }

    private void probe(
            EndpointRecord endpoint,
            long brokenAtNanos,
            CompletableFuture<BreakCause> result,
            boolean refusedBefore) {
        if (isHeardSince(endpoint, brokenAtNanos)) {
            finish(endpoint, brokenAtNanos, result, new BreakCause.Alive());
            return;
        }
        connections
                .probe(endpoint)
                .thenAccept(
                        found -> onProbe(endpoint, brokenAtNanos, result, refusedBefore, found));
    }

    private void onProbe(
            EndpointRecord endpoint,
            long brokenAtNanos,
            CompletableFuture<BreakCause> result,
            boolean refusedBefore,
            ConnectionProbe found) {
        switch (found) {
            case ConnectionProbe.Opened() ->
                    finish(endpoint, brokenAtNanos, result, new BreakCause.Alive());
            case ConnectionProbe.Unanswered() ->
                    finish(endpoint, brokenAtNanos, result, new BreakCause.Unreached());
            case ConnectionProbe.Refused() when !refusedBefore ->
                    scheduler.after(
                            SECOND_PROBE_DELAY, () -> probe(endpoint, brokenAtNanos, result, true));
            case ConnectionProbe.Refused() ->
                    finish(endpoint, brokenAtNanos, result, causeOfEnd(endpoint, brokenAtNanos));
        }
    }

    /** Other connections show that an endpoint which refuses new ones is alive. */
    private boolean isHeardSince(EndpointRecord endpoint, long brokenAtNanos) {
        long nowNanos = scheduler.nanoTime();
        Duration sinceBreak = Duration.ofNanos(nowNanos - brokenAtNanos).minus(LATE_READ);
        Option<Duration> sinceHeard = table.timeSinceHeard(endpoint.id(), nowNanos);
        return sinceHeard.exists(time -> time.compareTo(sinceBreak) < 0);
    }

    /** The statement that an endpoint leaves may arrive only after it has ended. */
    private BreakCause causeOfEnd(EndpointRecord endpoint, long brokenAtNanos) {
        if (isHeardSince(endpoint, brokenAtNanos)) {
            return new BreakCause.Alive();
        }
        return isInService(endpoint) ? new BreakCause.Ended(endpoint) : new BreakCause.Left();
    }

    private void finish(
            EndpointRecord endpoint,
            long brokenAtNanos,
            CompletableFuture<BreakCause> result,
            BreakCause cause) {
        LOG.event("break_traced")
                .with("endpoint", endpoint.id())
                .with("service", endpoint.service())
                .with("started_at_ms", endpoint.startedAtMillis())
                .with("cause", cause.label())
                .with("ms", Duration.ofNanos(scheduler.nanoTime() - brokenAtNanos).toMillis())
                .info();
        metrics.recordEndpointBreak(endpoint.service().value(), cause.label());
        boolean stays = cause instanceof BreakCause.Ended;
        Runnable forget = () -> lock.run(() -> traces.remove(Incarnation.of(endpoint), result));
        if (stays) {
            // Connections that broke at the same moment may be noticed later.
            scheduler.after(TRACE_LIFETIME, forget);
        } else {
            forget.run();
        }
        result.complete(cause);
    }
}
