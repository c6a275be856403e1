package org.tamarackfold.endpoint;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Finds out which endpoints this host can open connections to. An endpoint may answer late for
 * reasons of its own; that a connection cannot even be opened shows that the endpoint is down or
 * the path to it is cut. Which of the two it is, only other hosts can tell. Where two endpoints of
 * a service are out of reach and none is heard, the path is the likely cause, and all of them are
 * presumed out of reach until a connection proves otherwise. Thread-safe.
 */
public final class ReachabilityMonitor {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /** Bytes of an endpoint that are not older prove the path to it. */
    private static final Duration RECENT = Duration.ofMillis(400);

    /**
     * A test connection that is not older proves the path as well. Longer, because each test costs
     * the endpoint a connection, and many calls may be slow at the same time.
     */
    private static final Duration TEST_VALIDITY = Duration.ofSeconds(1);

    /** Interval at which connections to endpoints that are out of reach are tried again. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(500);

    /** Random part of the interval, so that hosts do not try in step when a cut ends. */
    private static final int RECHECK_JITTER_MILLIS = 100;

    /** Connections tried at a time for a service of which no endpoint is in reach. */
    private static final int RECHECKS_WITHOUT_CONTACT = 2;

    /** Connections tried at a time for a service of which other endpoints are in reach. */
    private static final int RECHECKS_WITH_CONTACT = 16;

    /** Endpoints of a service that must be out of reach before all others are presumed so. */
    private static final int MINIMUM_EVIDENCE = 2;

    /** Delay before a host that has just started looks for endpoints to check again. */
    private static final Duration START_RETRY_DELAY = Duration.ofSeconds(1);

    private final TableLock lock = new TableLock(LockRank.REACHABILITY);
    private final Map<EndpointId, CompletableFuture<Boolean>> checks = new HashMap<>();

    /** Endpoints that are out of reach by presumption only. */
    private final Set<EndpointId> presumed = new HashSet<>();

    private final EndpointTable table;
    private final EndpointConnections connections;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final ContactReporter contact;
    private boolean recheckScheduled;

    /** Creates a monitor that records what it finds in the given table. */
    public ReachabilityMonitor(
            EndpointTable table,
            EndpointConnections connections,
            Scheduler scheduler,
            RandomGenerator random,
            ContactListener listener) {
        this.table = table;
        this.connections = connections;
        this.scheduler = scheduler;
        this.random = random;
        this.contact = new ContactReporter(this::reachesEndpoints, listener, scheduler);
    }

    /** Checks each service once there are endpoints: a host may be cut off from its start on. */
    public void start() {
        Vector<ObservedEndpoint> available = table.available(scheduler.nanoTime());
        if (available.isEmpty()) {
            scheduler.after(START_RETRY_DELAY, this::start);
            return;
        }
        available
                .groupBy(observed -> observed.record().service())
                .values()
                .forEach(service -> check(service.head().record()));
    }

    /**
     * Checks whether the path to an endpoint works that has not answered for some time. Tests a
     * connection unless bytes of the endpoint have arrived lately or it is known to be out of
     * reach.
     */
    public CompletableFuture<Boolean> check(EndpointRecord endpoint) {
        long nowNanos = scheduler.nanoTime();
        Option<ObservedEndpoint> observed = table.available(endpoint.id(), nowNanos);
        if (observed.exists(known -> !known.reachable())) {
            return CompletableFuture.completedFuture(false);
        }
        if (observed.exists(known -> isProven(known, nowNanos))) {
            return CompletableFuture.completedFuture(true);
        }
        CompletableFuture<Boolean> result = test(endpoint);
        checkAnother(endpoint, nowNanos);
        return result;
    }

    private static boolean isProven(ObservedEndpoint observed, long nowNanos) {
        return observed.isHeardSince(nowNanos - RECENT.toNanos())
                || observed.isConnectedSince(nowNanos - TEST_VALIDITY.toNanos());
    }

    /** Called when a connection for a call could not be opened. */
    public void onConnectFailed(EndpointRecord endpoint) {
        lock.run(() -> presumed.remove(endpoint.id()));
        onUnreached(endpoint, scheduler.nanoTime() - RECENT.toNanos(), "connection of a call");
    }

    /** Tests a connection; concurrent checks of one endpoint share it. */
    private CompletableFuture<Boolean> test(EndpointRecord endpoint) {
        long startedAtNanos = scheduler.nanoTime();
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        CompletableFuture<Boolean> running =
                lock.withLock(() -> checks.putIfAbsent(endpoint.id(), result));
        if (running != null) {
            return running;
        }
        connections
                .test(endpoint)
                .thenAccept(
                        opened -> {
                            lock.run(() -> checks.remove(endpoint.id()));
                            onChecked(endpoint, opened, startedAtNanos);
                            result.complete(opened);
                        });
        return result;
    }

    private void onChecked(EndpointRecord endpoint, boolean opened, long startedAtNanos) {
        if (opened) {
            onReached(endpoint);
        } else {
            onUnreached(endpoint, startedAtNanos, "check");
        }
    }

    private void onReached(EndpointRecord endpoint) {
        table.recordConnected(endpoint.id(), scheduler.nanoTime());
        if (!table.setReachable(endpoint.id(), true)) {
            return;
        }
        lock.run(() -> presumed.remove(endpoint.id()));
        int withdrawn = withdrawPresumption(endpoint.service());
        LOG.event("endpoint_reachable")
                .with("endpoint", endpoint.id())
                .with("presumptions_withdrawn", withdrawn)
                .info();
        recheck(endpoint.service());
        contact.report();
    }

    /**
     * Takes the presumed endpoints of a service for in reach again, without a test of each: calls
     * must not crowd at the one that was tested, and will find those that are out of reach.
     */
    private int withdrawPresumption(ServiceName service) {
        Vector<EndpointId> ids =
                available(service)
                        .filter(observed -> !observed.reachable())
                        .map(observed -> observed.record().id())
                        .filter(id -> lock.withLock(() -> presumed.remove(id)));
        ids.forEach(id -> table.setReachable(id, true));
        return ids.size();
    }

    private void onUnreached(EndpointRecord endpoint, long sinceNanos, String evidence) {
        if (!table.setReachable(endpoint.id(), false)) {
            return;
        }
        connections.closeIdle(endpoint);
        LOG.event("endpoint_unreachable")
                .with("endpoint", endpoint.id())
                .with("service", endpoint.service())
                .with("evidence", evidence)
                .warn();
        scheduleRecheck();
        Vector<ObservedEndpoint> service = available(endpoint.service());
        if (isWholeServiceOutOfReach(service, sinceNanos)) {
            presumeUnreachable(service);
            checkOtherServices(endpoint.service());
        } else {
            checkAnother(endpoint, scheduler.nanoTime());
        }
        contact.report();
    }

    private Vector<ObservedEndpoint> available(ServiceName service) {
        return table.available(scheduler.nanoTime())
                .filter(observed -> observed.record().service().equals(service));
    }

    private static boolean isWholeServiceOutOfReach(
            Vector<ObservedEndpoint> service, long sinceNanos) {
        int unreachable = service.count(observed -> !observed.reachable());
        return unreachable >= Math.min(MINIMUM_EVIDENCE, service.size())
                && !service.exists(
                        observed ->
                                observed.reachable()
                                        && (observed.isHeardSince(sinceNanos)
                                                || observed.isConnectedSince(sinceNanos)));
    }

    private void presumeUnreachable(Vector<ObservedEndpoint> service) {
        for (ObservedEndpoint observed : service.filter(ObservedEndpoint::reachable)) {
            if (table.setReachable(observed.record().id(), false)) {
                lock.run(() -> presumed.add(observed.record().id()));
                connections.closeIdle(observed.record());
                LOG.event("endpoint_unreachable")
                        .with("endpoint", observed.record().id())
                        .with("service", observed.record().service())
                        .with("evidence", "presumed")
                        .warn();
            }
        }
    }

    /**
     * Checks another endpoint of the service, of another zone if possible, unless one is proven.
     */
    private void checkAnother(EndpointRecord endpoint, long nowNanos) {
        Vector<EndpointRecord> others =
                available(endpoint.service())
                        .filter(ObservedEndpoint::reachable)
                        .map(ObservedEndpoint::record)
                        .filter(other -> !other.id().equals(endpoint.id()));
        boolean anyKnown =
                available(endpoint.service())
                        .filter(observed -> !observed.record().id().equals(endpoint.id()))
                        .exists(
                                observed ->
                                        isProven(observed, nowNanos)
                                                || isBeingTested(observed.record().id()));
        if (anyKnown || others.isEmpty()) {
            return;
        }
        Vector<EndpointRecord> elsewhere =
                others.filter(other -> !other.zone().equals(endpoint.zone()));
        test(pick(elsewhere.isEmpty() ? others : elsewhere));
    }

    private boolean isBeingTested(EndpointId id) {
        return lock.withLock(() -> checks.containsKey(id));
    }

    private <T> T pick(Vector<T> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }

    private void checkOtherServices(ServiceName lost) {
        table.available(scheduler.nanoTime())
                .filter(ObservedEndpoint::reachable)
                .groupBy(observed -> observed.record().service())
                .remove(lost)
                .values()
                .forEach(service -> check(pick(service).record()));
    }

    private void scheduleRecheck() {
        boolean isFirst =
                lock.withLock(
                        () -> {
                            boolean wasScheduled = recheckScheduled;
                            recheckScheduled = true;
                            return !wasScheduled;
                        });
        if (!isFirst) {
            return;
        }
        scheduler.after(
                RECHECK_INTERVAL.plusMillis(random.nextInt(RECHECK_JITTER_MILLIS)),
                this::recheckAll);
    }

    private void recheckAll() {
        lock.run(() -> recheckScheduled = false);
        contact.report();
        Vector<ObservedEndpoint> unreachable =
                table.available(scheduler.nanoTime()).filter(observed -> !observed.reachable());
        if (unreachable.isEmpty()) {
            // Those left have been removed while they were out of reach.
            lock.run(presumed::clear);
            return;
        }
        scheduleRecheck();
        unreachable
                .groupBy(observed -> observed.record().service())
                .keySet()
                .forEach(this::recheckWithOthers);
    }

    /** Other services may have been lost since they were proven, without a call that shows it. */
    private void recheckWithOthers(ServiceName name) {
        recheck(name);
        if (!available(name).exists(ObservedEndpoint::reachable)) {
            checkOtherServices(name);
        }
    }

    private void recheck(ServiceName name) {
        Vector<ObservedEndpoint> service = available(name);
        boolean hasContact = service.exists(ObservedEndpoint::reachable);
        int count = hasContact ? RECHECKS_WITH_CONTACT : RECHECKS_WITHOUT_CONTACT;
        Vector<ObservedEndpoint> unreachable = service.filter(observed -> !observed.reachable());
        int first = unreachable.isEmpty() ? 0 : random.nextInt(unreachable.size());
        unreachable.rotateLeft(first).take(count).forEach(observed -> test(observed.record()));
    }

    /** Returns the number of available endpoints that are out of reach. */
    public int unreachableCount() {
        return table.available(scheduler.nanoTime()).count(observed -> !observed.reachable());
    }

    /** Returns whether any endpoint is in reach, or none is registered. */
    public boolean reachesEndpoints() {
        Vector<ObservedEndpoint> available = table.available(scheduler.nanoTime());
        return available.isEmpty() || available.exists(ObservedEndpoint::reachable);
    }
}
