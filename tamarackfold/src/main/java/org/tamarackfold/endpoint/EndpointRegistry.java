package org.tamarackfold.endpoint;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Applies endpoint registrations to the {@link EndpointTable}. During an outage of the key-value
 * service, registrations expire although their endpoints are alive. If fewer than half of the
 * endpoints of a service would remain after an outage, the outage is the likely cause: removals are
 * then held back for a grace period in which the endpoints can register again.
 */
public final class EndpointRegistry {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /**
     * Time after the recovery of the key-value service within which live endpoints register again:
     * about 2 s by the contract of the service.
     */
    private static final Duration REREGISTRATION_GRACE = Duration.ofMillis(2_100);

    /**
     * Removals are held back when less than this share of the endpoints of a service would remain.
     * After an outage of the key-value service, most registrations are missing. A host that alone
     * lost its connection finds most endpoints registered; those missing have deregistered.
     */
    private static final double MINIMUM_REMAINING_SHARE = 0.5;

    private final TableLock lock = new TableLock(LockRank.HOSTS);
    private final EndpointTable table;
    private final Scheduler scheduler;

    /** Endpoints whose removal is held back, with the time at which it was due, in ns. */
    private final Map<EndpointId, Long> heldBackRemovals = new HashMap<>();

    /** Number of available endpoints of each service at the start of the last outage. */
    private Map<ServiceName, Long> availableCountsBeforeOutage = Map.of();

    private boolean reachable = true;
    private boolean outageObserved;
    private long reachabilityChangedAtNanos;

    /** Creates a registry that updates the given table. */
    public EndpointRegistry(EndpointTable table, Scheduler scheduler) {
        this.table = table;
        this.scheduler = scheduler;
    }

    /** Called when the key-value service becomes unreachable and when it is reachable again. */
    public void onServiceReachabilityChanged(boolean isReachable) {
        lock.run(
                () -> {
                    if (!isReachable) {
                        availableCountsBeforeOutage =
                                table.countAvailable(Set.of(), scheduler.nanoTime());
                    }
                    reachable = isReachable;
                    outageObserved = true;
                    reachabilityChangedAtNanos = scheduler.nanoTime();
                });
    }

    /** Called when an endpoint has registered or changed its registration. */
    public void onRegistered(EndpointRecord record) {
        lock.run(() -> heldBackRemovals.remove(record.id()));
        table.put(record);
        LOG.event("endpoint_registered")
                .with("endpoint", record.id())
                .with("service", record.service())
                .with("address", record.address())
                .with("version", record.version())
                .with("leaving", record.draining())
                .info();
    }

    /**
     * Called when a registration cannot be decoded; removes the endpoint without a grace period.
     */
    public void onMalformed(EndpointId id) {
        lock.run(() -> heldBackRemovals.remove(id));
        remove(id, "registration malformed");
    }

    /** Called with all registered endpoints; every other endpoint of the table is removed. */
    public void onListing(Set<EndpointId> registeredIds) {
        onRemoved(
                table.ids().stream()
                        .filter(id -> !registeredIds.contains(id))
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /** Called when a registration has been removed or has expired. */
    public void onRemoved(EndpointId id) {
        onRemoved(Set.of(id));
    }

    private void onRemoved(Set<EndpointId> ids) {
        long nowNanos = scheduler.nanoTime();
        long graceNanos = lock.withLock(() -> remainingGraceNanos(nowNanos));
        Set<ServiceName> belowMinimum =
                graceNanos > 0 ? lock.withLock(() -> servicesBelowMinimumWithout(ids)) : Set.of();
        for (EndpointId id : ids) {
            boolean heldBack = table.get(id).exists(record -> mustHoldBack(record, belowMinimum));
            if (heldBack) {
                holdBack(id, graceNanos, nowNanos);
            } else {
                remove(id, "registration removed");
            }
        }
    }

    private static boolean mustHoldBack(EndpointRecord record, Set<ServiceName> belowMinimum) {
        return !record.draining() && belowMinimum.contains(record.service());
    }

    /**
     * Returns the services that fall below the minimum without the given and held-back endpoints.
     */
    private Set<ServiceName> servicesBelowMinimumWithout(Set<EndpointId> ids) {
        Set<EndpointId> missing = new HashSet<>(heldBackRemovals.keySet());
        missing.addAll(ids);
        Map<ServiceName, Long> remaining = table.countAvailable(missing, scheduler.nanoTime());
        return availableCountsBeforeOutage.entrySet().stream()
                .filter(
                        entry ->
                                remaining.getOrDefault(entry.getKey(), 0L)
                                        < entry.getValue() * MINIMUM_REMAINING_SHARE)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void holdBack(EndpointId id, long graceNanos, long nowNanos) {
        lock.run(() -> heldBackRemovals.put(id, nowNanos));
        LOG.event("removal_held_back")
                .with("endpoint", id)
                .with("ms", Duration.ofNanos(graceNanos).toMillis())
                .info();
        scheduler.after(Duration.ofNanos(graceNanos), () -> removeIfStillHeldBack(id, nowNanos));
    }

    /**
     * Returns the rest of the grace period, in ns; 0 when there was no outage or the grace period
     * has ended.
     */
    private long remainingGraceNanos(long nowNanos) {
        if (!outageObserved) {
            return 0;
        }
        return reachable
                ? Math.max(
                        0, reachabilityChangedAtNanos + REREGISTRATION_GRACE.toNanos() - nowNanos)
                : REREGISTRATION_GRACE.toNanos();
    }

    private void removeIfStillHeldBack(EndpointId id, long heldBackAtNanos) {
        if (lock.withLock(() -> !reachable)) {
            scheduler.after(REREGISTRATION_GRACE, () -> removeIfStillHeldBack(id, heldBackAtNanos));
            return;
        }
        if (lock.withLock(() -> heldBackRemovals.remove(id, heldBackAtNanos))) {
            remove(id, "not registered again within the grace period");
        }
    }

    private void remove(EndpointId id, String reason) {
        if (table.remove(id).isDefined()) {
            LOG.event("endpoint_removed").with("endpoint", id).with("reason", reason).info();
        }
    }
}
