package org.tamarackfold.peer;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.id.HostId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * The other entry hosts that are or were lately registered: registrations lapse in an outage of the
 * key-value service although their hosts are alive. Thread-safe.
 */
public final class RecentHosts {
    /** How long a host is remembered without a registration; longer than most outages. */
    private static final Duration LIFETIME = Duration.ofMinutes(5);

    /** Interval of the check for hosts to be forgotten while no registration changes. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(10);

    /** Hosts that are remembered; the size of a fleet to design for is a third of it. */
    private static final int MAXIMUM_HOSTS = 1_024;

    private record Seen(EntryHost host, long atNanos) {}

    private final TableLock lock = new TableLock(LockRank.HOSTS);
    private final HostId self;
    private final HostTable hostTable;
    private final Scheduler scheduler;
    private Vector<EntryHost> lastRegistered = Vector.empty();
    private Map<HostId, Seen> seen = LinkedHashMap.empty();
    private Vector<EntryHost> ordered = Vector.empty();
    private long updatedAtNanos;

    /**
     * Creates the view of a host.
     *
     * @param self this host, which is left out
     */
    public RecentHosts(HostId self, HostTable hostTable, Scheduler scheduler) {
        this.self = self;
        this.hostTable = hostTable;
        this.scheduler = scheduler;
        this.updatedAtNanos = scheduler.nanoTime();
    }

    /** Returns the other hosts, ordered by name. */
    public Vector<EntryHost> hosts() {
        Vector<EntryHost> registered = hostTable.entryHosts();
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () -> {
                    if (registered != lastRegistered
                            || nowNanos - updatedAtNanos >= CHECK_INTERVAL.toNanos()) {
                        update(registered, nowNanos);
                        lastRegistered = registered;
                        updatedAtNanos = nowNanos;
                    }
                    return ordered;
                });
    }

    /** A host counts as seen until its registration is missed. */
    private void update(Vector<EntryHost> registered, long nowNanos) {
        Vector<EntryHost> current = lastRegistered.appendAll(registered);
        for (EntryHost host : current.filter(entry -> !entry.host().equals(self))) {
            seen = seen.remove(host.host()).put(host.host(), new Seen(host, nowNanos));
        }
        seen = seen.filterValues(entry -> nowNanos - entry.atNanos() < LIFETIME.toNanos());
        if (seen.size() > MAXIMUM_HOSTS) {
            seen = seen.drop(seen.size() - MAXIMUM_HOSTS);
        }
        ordered = seen.values().map(Seen::host).toVector().sortBy(EntryHost::host);
    }

    /** Returns a host by its name, this one excepted. */
    public Option<EntryHost> get(HostId host) {
        return hosts().find(entry -> entry.host().equals(host));
    }
}
