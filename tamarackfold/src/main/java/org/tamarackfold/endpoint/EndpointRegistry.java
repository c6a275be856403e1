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
 * Applies registrations of endpoints to their table. While the key-value service is disturbed,
 * registrations lapse although the endpoints live. Where so many are missing that this is the
 * likely reason, their removal waits for their return.
 */
public final class EndpointRegistry {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /**
     * Time after the return of the service in which lapsed registrations are back: about 2 s by the
     * contract of the service.
     */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_100);

    /**
     * Share of the endpoints of a service that suffices without those missing. A host that was cut
     * off alone finds most endpoints registered; after an outage of the service most are missing.
     */
    private static final double SUFFICIENT_SHARE = 0.5;

    private final TableLock lock = new TableLock(LockRank.MEMBERS);
    private final EndpointTable table;
    private final Scheduler scheduler;
    private final Map<EndpointId, Long> lapsed = new HashMap<>();
    private Map<ServiceName, Long> usableBefore = Map.of();
    private boolean reachable = true;
    private boolean disturbed;
    private long regainedAt;

    /** Creates a registry that applies to the given table. */
    public EndpointRegistry(EndpointTable table, Scheduler scheduler) {
        this.table = table;
        this.scheduler = scheduler;
    }

    /** The key-value service has stopped answering, or answers again. */
    public void serviceReachable(boolean value) {
        lock.run(
                () -> {
                    if (!value) {
                        usableBefore = table.usable(Set.of());
                    }
                    reachable = value;
                    disturbed = true;
                    regainedAt = scheduler.nanoTime();
                });
    }

    /** An endpoint has registered or changed its registration. */
    public void registered(EndpointRecord record) {
        lock.run(() -> lapsed.remove(record.id()));
        table.put(record);
        LOG.event("endpoint_registered")
                .with("endpoint", record.id())
                .with("service", record.service())
                .with("address", record.address())
                .with("leaving", record.leaving())
                .info();
    }

    /** The registration of an endpoint cannot be read, so it names no endpoint to use. */
    public void malformed(EndpointId id) {
        lock.run(() -> lapsed.remove(id));
        remove(id, "registration malformed");
    }

    /** All endpoints that are registered; the others have been removed meanwhile. */
    public void listed(Set<EndpointId> present) {
        removed(
                table.ids().stream()
                        .filter(id -> !present.contains(id))
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /** The registration of an endpoint has been removed. */
    public void removed(EndpointId id) {
        removed(Set.of(id));
    }

    private void removed(Set<EndpointId> ids) {
        long now = scheduler.nanoTime();
        long hold = lock.locked(() -> remainingReturnNanos(now));
        Set<ServiceName> scarce = hold > 0 ? lock.locked(() -> scarceWithout(ids)) : Set.of();
        for (EndpointId id : ids) {
            boolean needed = table.get(id).exists(record -> needed(record, scarce));
            if (needed) {
                holdBack(id, hold, now);
            } else {
                remove(id, "registration removed");
            }
        }
    }

    private static boolean needed(EndpointRecord record, Set<ServiceName> scarce) {
        return !record.leaving() && scarce.contains(record.service());
    }

    /** Returns the services that too few endpoints remain for without those given or lapsed. */
    private Set<ServiceName> scarceWithout(Set<EndpointId> ids) {
        Set<EndpointId> missing = new HashSet<>(lapsed.keySet());
        missing.addAll(ids);
        Map<ServiceName, Long> remaining = table.usable(missing);
        return usableBefore.entrySet().stream()
                .filter(
                        before ->
                                remaining.getOrDefault(before.getKey(), 0L)
                                        < before.getValue() * SUFFICIENT_SHARE)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void holdBack(EndpointId id, long hold, long now) {
        lock.run(() -> lapsed.put(id, now));
        LOG.event("removal_held_back")
                .with("endpoint", id)
                .with("ms", Duration.ofNanos(hold).toMillis())
                .info();
        scheduler.after(Duration.ofNanos(hold), () -> removeIfStillLapsed(id, now));
    }

    /** Returns how long lapsed registrations may still come back, in ns; 0 when calm. */
    private long remainingReturnNanos(long now) {
        if (!disturbed) {
            return 0;
        }
        return reachable
                ? Math.max(0, regainedAt + RETURN_TIME.toNanos() - now)
                : RETURN_TIME.toNanos();
    }

    private void removeIfStillLapsed(EndpointId id, long since) {
        if (lock.locked(() -> !reachable)) {
            scheduler.after(RETURN_TIME, () -> removeIfStillLapsed(id, since));
            return;
        }
        if (lock.locked(() -> lapsed.remove(id, since))) {
            remove(id, "registration did not return");
        }
    }

    private void remove(EndpointId id, String reason) {
        if (table.remove(id).isDefined()) {
            LOG.event("endpoint_removed").with("endpoint", id).with("reason", reason).info();
        }
    }
}
