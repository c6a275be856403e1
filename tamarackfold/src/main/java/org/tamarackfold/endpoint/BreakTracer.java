package org.tamarackfold.endpoint;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
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

    /** Other endpoints to which a connection is opened to see whether the path works. */
    private static final int MAXIMUM_COMPARED = 3;

    private static final Comparator<ObservedEndpoint> LAST_HEARD_FIRST =
            Comparator.comparingLong(
                    (ObservedEndpoint other) ->
                            -other.heardAtNanos().getOrElse(Long.MIN_VALUE + 1));

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
                    checkPath(endpoint, brokenAtNanos)
                            .thenAccept(
                                    works ->
                                            finish(
                                                    endpoint,
                                                    brokenAtNanos,
                                                    result,
                                                    works
                                                            ? causeOfEnd(endpoint, brokenAtNanos)
                                                            : new BreakCause.Unreached()));
        }
    }

    /**
     * Returns whether this host reaches any other endpoint: a path that is cut may refuse
     * connections, too. A host with a single endpoint has nothing to compare with.
     */
    private CompletableFuture<Boolean> checkPath(EndpointRecord endpoint, long brokenAtNanos) {
        Vector<ObservedEndpoint> others =
                table.available(scheduler.nanoTime())
                        .filter(other -> !other.record().id().equals(endpoint.id()));
        boolean isProven =
                others.exists(
                        other ->
                                other.isHeardSince(brokenAtNanos)
                                        || other.isConnectedSince(brokenAtNanos));
        if (isProven || others.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        return anyOpens(
                others.filter(ObservedEndpoint::reachable)
                        .sorted(LAST_HEARD_FIRST)
                        .take(MAXIMUM_COMPARED));
    }

    private CompletableFuture<Boolean> anyOpens(Vector<ObservedEndpoint> others) {
        if (others.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        return connections
                .probe(others.head().record())
                .thenCompose(
                        found ->
                                found instanceof ConnectionProbe.Opened
                                        ? CompletableFuture.completedFuture(true)
                                        : anyOpens(others.tail()));
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
