package org.tamarackfold.peer;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Selects the entry host that forwards a call to an endpoint which this host cannot reach. Only
 * hosts that have not registered as out of reach of all endpoints are selected. Thread-safe.
 */
public final class ForwardingHosts {
    /** Time for which a host that did not take a call is avoided. */
    private static final Duration BACKOFF = Duration.ofSeconds(1);

    /** Time for which a host that did not reach an endpoint is used after others. */
    private static final Duration DOUBT = Duration.ofSeconds(1);

    /** Weight of that doubt, and of a zone in which a host has not taken the call. */
    private static final double DOUBT_PENALTY = 2;

    /** Calls in flight at a host that weigh as much as leaving both zones of the call. */
    private static final double CALLS_PER_ZONE_DETOUR = 16;

    /** Upper bound of the random addend that spreads calls over hosts of equal cost. */
    private static final double TIE_BREAK_JITTER = 0.1;

    private final TableLock lock = new TableLock(LockRank.FORWARDING);
    private final HostId self;
    private final AvailabilityZone localZone;
    private final HostTable hostTable;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<HostId, Integer> inFlight = new HashMap<>();
    private final Map<HostId, Long> avoidedUntilNanos = new HashMap<>();
    private final Map<HostId, Long> doubtedUntilNanos = new HashMap<>();

    /**
     * Creates the selection of a host.
     *
     * @param self this host, which is never selected
     * @param localZone the availability zone of this host
     */
    public ForwardingHosts(
            HostId self,
            AvailabilityZone localZone,
            HostTable hostTable,
            Scheduler scheduler,
            RandomGenerator random) {
        this.self = self;
        this.localZone = localZone;
        this.hostTable = hostTable;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Returns whether any other entry host is registered. */
    public boolean hasOthers() {
        return hostTable.entryHosts().exists(host -> !host.host().equals(self));
    }

    /**
     * Selects a host and counts the call as in flight there until {@link #release}. A host in the
     * zone of this host or of the endpoint is preferred: the call then leaves its zone no more
     * often than on the direct path. Hosts in the zones of excluded ones come last, as they may be
     * cut off together.
     *
     * @param excluded hosts that have not taken the call
     * @return none when no host is left
     */
    public Option<EntryHost> select(AvailabilityZone endpointZone, Set<HostId> excluded) {
        Vector<EntryHost> candidates =
                hostTable
                        .entryHosts()
                        .filter(host -> !host.host().equals(self))
                        .filter(EntryHost::reachesEndpoints)
                        .filter(host -> !excluded.contains(host.host()));
        Set<AvailabilityZone> doubtedZones =
                hostTable
                        .entryHosts()
                        .filter(host -> excluded.contains(host.host()))
                        .map(EntryHost::zone)
                        .toSet();
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () -> {
                    Option<EntryHost> selected =
                            candidates
                                    .filter(host -> !isPending(avoidedUntilNanos, host, nowNanos))
                                    .minBy(
                                            host ->
                                                    cost(host, endpointZone)
                                                            + doubt(host, doubtedZones, nowNanos));
                    selected.forEach(host -> inFlight.merge(host.host(), 1, Integer::sum));
                    return selected;
                });
    }

    private static boolean isPending(Map<HostId, Long> untilNanos, EntryHost host, long nowNanos) {
        Long until = untilNanos.get(host.host());
        if (until == null) {
            return false;
        }
        if (until - nowNanos > 0) {
            return true;
        }
        untilNanos.remove(host.host());
        return false;
    }

    private double doubt(EntryHost host, Set<AvailabilityZone> doubtedZones, long nowNanos) {
        boolean doubted =
                isPending(doubtedUntilNanos, host, nowNanos) || doubtedZones.contains(host.zone());
        return doubted ? DOUBT_PENALTY : 0;
    }

    private double cost(EntryHost host, AvailabilityZone endpointZone) {
        boolean isOnTheWay = host.zone().equals(localZone) || host.zone().equals(endpointZone);
        return inFlight.getOrDefault(host.host(), 0) / CALLS_PER_ZONE_DETOUR
                + (isOnTheWay ? 0 : 1)
                + random.nextDouble() * TIE_BREAK_JITTER;
    }

    /** Stops counting a call as in flight; called once for each selected host. */
    public void release(HostId host) {
        lock.run(
                () ->
                        inFlight.computeIfPresent(
                                host, (unused, count) -> count > 1 ? count - 1 : null));
    }

    /** Records that a host has not taken a call, or has not answered in time. */
    public void recordFailure(HostId host) {
        long untilNanos = scheduler.nanoTime() + BACKOFF.toNanos();
        lock.run(() -> avoidedUntilNanos.put(host, untilNanos));
    }

    /** Records that a host did not reach an endpoint; it may reach others. */
    public void recordUnreachable(HostId host) {
        long untilNanos = scheduler.nanoTime() + DOUBT.toNanos();
        lock.run(() -> doubtedUntilNanos.put(host, untilNanos));
    }
}
