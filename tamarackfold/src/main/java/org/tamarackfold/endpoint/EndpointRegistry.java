package org.tamarackfold.endpoint;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Applies registrations of endpoints to their table. While the key-value service is disturbed,
 * registrations lapse although the endpoints live; their removal then waits for their return.
 */
public final class EndpointRegistry {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /** Time after the return of the service in which lapsed registrations are back. */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_300);

    private final TableLock lock = new TableLock(LockRank.MEMBERS);
    private final EndpointTable table;
    private final Scheduler scheduler;
    private final Map<EndpointId, Long> lapsed = new HashMap<>();
    private boolean reachable = true;
    private boolean disturbed;
    private long regainedAt;

    /** Creates a registry that applies to the given table. */
    public EndpointRegistry(EndpointTable table, Scheduler scheduler) {
        this.table = table;
        this.scheduler = scheduler;
    }

    /** The key-value service has stopped answering, or answers again. */
    public void serviceReachable(boolean value, long now) {
        lock.run(
                () -> {
                    reachable = value;
                    disturbed = true;
                    regainedAt = now;
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
    public void listed(Set<EndpointId> present, Set<EndpointId> known, long now) {
        known.stream().filter(id -> !present.contains(id)).forEach(id -> removed(id, now));
    }

    /** The registration of an endpoint has been removed. */
    public void removed(EndpointId id, long now) {
        long hold = lock.locked(() -> holdNanos(id, now));
        if (hold <= 0) {
            remove(id, "registration removed");
            return;
        }
        LOG.event("removal_held_back")
                .with("endpoint", id)
                .with("ms", Duration.ofNanos(hold).toMillis())
                .info();
        scheduler.after(Duration.ofNanos(hold), () -> removeIfStillLapsed(id, now));
    }

    private long holdNanos(EndpointId id, long now) {
        long hold = remainingReturnNanos(now);
        if (hold > 0) {
            lapsed.put(id, now);
        }
        return hold;
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
