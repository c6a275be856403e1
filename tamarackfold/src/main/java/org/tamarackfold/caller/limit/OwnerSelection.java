package org.tamarackfold.caller.limit;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * Decides which hosts to ask for permits of a customer, and what this host may grant. Thread-safe.
 *
 * <p>The owner is the host with the highest rank among those that have been registered for a while.
 * It grants only while it is confirmed: while its registration has a lease, or, when the key-value
 * service is down, while other hosts still see it as registered. A host that is not seen any more
 * has therefore ended to grant when its successor begins.
 *
 * <p>When all leases end in an outage of the key-value service, hosts are <em>lapsed</em> until
 * they register again, and count as before meanwhile.
 */
public final class OwnerSelection {
    /**
     * The time before the end of a lease at which others ask a new host as the owner, and the time
     * after it at which that host begins to grant. The distance covers the delays of watches; until
     * then, both hosts grant as fallbacks.
     */
    private static final long HANDOVER_LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long HANDOVER_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * How long a host that is not registered any more still counts as the owner. Longer than a
     * confirmation by other hosts is valid.
     */
    private static final long TAKEOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /**
     * Time within which this host must see its registration again to go on as an owner. Shorter
     * than the takeover by the delays of watches, with which others see it leave and return.
     */
    private static final long OWN_RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * How long hosts still count whose registrations have ended in an outage of the key-value
     * service, and how long after it this host takes ended registrations for such. Registrations
     * are written again within 2 s after it.
     */
    private static final long LAPSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /**
     * How long after its first registrations this host takes others that register for owners that
     * have lapsed: until all others have given them up.
     */
    private static final long RETURN_NANOS = LAPSE_NANOS + TAKEOVER_NANOS;

    /** How long a confirmation by other hosts is valid, from the time the question was sent. */
    public static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final HostId self;
    private final long leaseNanos;
    private final TableLock lock = new TableLock(LockRank.CUSTOMERS);

    /**
     * The active hosts that are registered or lapsed, with the time from which on each can be an
     * owner.
     */
    private Map<HostId, Long> eligibleAt = HashMap.empty();

    /** The hosts that are not registered any more, with the time until which they count. */
    private Map<HostId, Departure> departures = HashMap.empty();

    /** The active hosts that are expected to register again, with the time until which. */
    private Map<HostId, Long> lapsedUntil = HashMap.empty();

    /** When the lease of this host last was not renewed, although others confirmed the host. */
    private Option<Long> notRenewedAtNanos = Option.none();

    private boolean hasView;

    /** When this host first saw a registration. */
    private Option<Long> firstSeenAtNanos = Option.none();

    /** When the customers of a departed host were last taken over. */
    private Option<Long> lastTakeoverAtNanos = Option.none();

    private Option<Long> confirmedUntilNanos = Option.none();

    private record Departure(long eligibleAtNanos, long untilNanos, boolean hasLapsed) {
        /** Returns whether all others still count the host, also those that saw it leave first. */
        private boolean isRecent(long nowNanos) {
            return untilNanos - nowNanos > TAKEOVER_NANOS - OWN_RETURN_NANOS;
        }
    }

    /**
     * Creates the selection of a host without a view of the others.
     *
     * @param self this host
     * @param leaseDuration the lease of registrations: an owner that is cut off from the key-value
     *     service, and does not see a new host, grants at most for this time
     */
    public OwnerSelection(HostId self, Duration leaseDuration) {
        this.self = self;
        this.leaseNanos = leaseDuration.toNanos();
    }

    /** Applies the active hosts as they are registered now. */
    public void setHosts(Set<HostId> hosts, long nowNanos) {
        lock.run(
                () -> {
                    endLapses(nowNanos);
                    if (!eligibleAt.keySet().diff(lapsedUntil.keySet()).equals(hosts)) {
                        replaceHosts(hosts, nowNanos);
                    }
                    hasView = true;
                });
    }

    private void replaceHosts(Set<HostId> hosts, long nowNanos) {
        if (firstSeenAtNanos.isEmpty() && !hosts.isEmpty()) {
            firstSeenAtNanos = Option.some(nowNanos);
        }
        departures = departures.filterValues(gone -> gone.untilNanos() - nowNanos > 0);
        lapsedUntil = lapsedUntil.removeAll(hosts);
        Set<HostId> gone = eligibleAt.keySet().diff(lapsedUntil.keySet()).diff(hosts);
        if (isInOutage(nowNanos)) {
            keepLapsed(gone, hosts, nowNanos);
        } else {
            gone.forEach(host -> depart(host, nowNanos));
        }
        for (HostId added : hosts.diff(eligibleAt.keySet())) {
            eligibleAt = eligibleAt.put(added, eligibleAt(added, nowNanos));
            departures = departures.remove(added);
        }
    }

    private void depart(HostId host, long atNanos) {
        long untilNanos = atNanos + TAKEOVER_NANOS;
        boolean hasLapsed = lapsedUntil.containsKey(host);
        departures =
                departures.put(
                        host, new Departure(eligibleAt.get(host).get(), untilNanos, hasLapsed));
        eligibleAt = eligibleAt.remove(host);
        lapsedUntil = lapsedUntil.remove(host);
        lastTakeoverAtNanos = Option.some(untilNanos);
    }

    /**
     * Returns whether registrations end because the key-value service is not available to anyone:
     * the lease of this host was not renewed either, and other hosts confirmed it all the same.
     */
    private boolean isInOutage(long nowNanos) {
        return notRenewedAtNanos.exists(at -> nowNanos - at <= LAPSE_NANOS);
    }

    private void keepLapsed(Set<HostId> gone, Set<HostId> registered, long nowNanos) {
        // A host lapses once for a registration: others take over from one that does not return.
        Map<HostId, Departure> recent =
                departures.filterValues(host -> !host.hasLapsed() && host.isRecent(nowNanos));
        eligibleAt = eligibleAt.merge(recent.mapValues(Departure::eligibleAtNanos));
        departures = departures.removeAll(recent.keySet());
        for (HostId host : gone.addAll(recent.keySet()).diff(registered)) {
            lapsedUntil = lapsedUntil.put(host, nowNanos + LAPSE_NANOS);
        }
    }

    /** Takes the hosts for gone that have not registered again in time. */
    private void endLapses(long nowNanos) {
        lapsedUntil
                .filterValues(until -> until - nowNanos <= 0)
                .forEach((host, until) -> depart(host, until));
    }

    private long eligibleAt(HostId added, long nowNanos) {
        Option<Departure> departure = departures.get(added);
        if (departure.exists(gone -> !added.equals(self) || gone.isRecent(nowNanos))) {
            // Nobody has taken over: registrations are written again after an outage.
            return departure.get().eligibleAtNanos();
        }
        if (!hasView) {
            // A registration of this host that is there when it starts is that of its last process.
            // Nobody has taken over from it, and the bucket of this process is empty.
            return nowNanos;
        }
        if (added.equals(self)) {
            return nowNanos + ownHandoverNanos();
        }
        // This host may have started in an outage in which the other has stayed an owner.
        return isStarting(nowNanos) ? nowNanos : nowNanos + leaseNanos - HANDOVER_LEAD_NANOS;
    }

    /** Returns whether owners that have lapsed may not have registered again since the start. */
    private boolean isStarting(long nowNanos) {
        return firstSeenAtNanos.forAll(first -> nowNanos - first <= RETURN_NANOS);
    }

    private long ownHandoverNanos() {
        return leaseNanos + HANDOVER_LAG_NANOS;
    }

    /**
     * Records until when no other host can take this one for gone.
     *
     * @param untilNanos the end of the lease, or of the confirmation by other hosts
     */
    public void confirm(long untilNanos, long nowNanos) {
        lock.run(
                () -> {
                    boolean lapsed = confirmedUntilNanos.isDefined() && !isConfirmed(nowNanos);
                    if (lapsed && untilNanos - nowNanos > 0) {
                        joinAnew(nowNanos);
                    }
                    if (confirmedUntilNanos.forAll(until -> untilNanos - until > 0)) {
                        confirmedUntilNanos = Option.some(untilNanos);
                    }
                });
    }

    /** Records that the lease of this host is not renewed in time. */
    public void missRenewal(long nowNanos) {
        lock.run(
                () -> {
                    // An outage ends for a host that others have given up.
                    boolean isCounted =
                            departures.get(self).exists(gone -> gone.untilNanos() - nowNanos > 0);
                    if (isConfirmed(nowNanos) || isCounted) {
                        notRenewedAtNanos = Option.some(nowNanos);
                    }
                });
    }

    /** Waits as a new host does: others may have taken over from this one. */
    private void joinAnew(long nowNanos) {
        if (eligibleAt.containsKey(self)) {
            eligibleAt = eligibleAt.put(self, nowNanos + ownHandoverNanos());
        }
        notRenewedAtNanos = Option.none();
        departures = departures.remove(self);
    }

    /** Ends the ownership of this host at once, because it is stopping. */
    public void resign(long nowNanos) {
        lock.run(() -> confirmedUntilNanos = Option.some(nowNanos));
    }

    private boolean isConfirmed(long nowNanos) {
        return confirmedUntilNanos.exists(until -> until - nowNanos > 0);
    }

    /** Returns the active hosts, registered or lapsed, other than this one. */
    public Vector<HostId> otherHosts(long nowNanos) {
        return lock.withLock(() -> currentHosts(nowNanos).keySet().remove(self).toVector());
    }

    /** Returns whether a host is active, and registered or lapsed, as far as this host sees. */
    public boolean sees(HostId host, long nowNanos) {
        return lock.withLock(() -> currentHosts(nowNanos).containsKey(host));
    }

    /**
     * Replies to a host that asks whether it is seen; none while this host has just started, and
     * the other may not have registered again.
     */
    public Option<Boolean> confirms(HostId host, long nowNanos) {
        return lock.withLock(
                () ->
                        Option.of(currentHosts(nowNanos).containsKey(host))
                                .filter(seen -> seen || !isStarting(nowNanos)));
    }

    private Map<HostId, Long> currentHosts(long nowNanos) {
        endLapses(nowNanos);
        return eligibleAt;
    }

    /** Returns the hosts to ask for permits, in this order: the owner, and the next one. */
    public Vector<HostId> candidates(CustomerName customer, long nowNanos) {
        return lock.withLock(
                () -> {
                    Vector<HostId> eligible =
                            HostRanking.firstTwo(
                                    customer,
                                    currentHosts(nowNanos)
                                            .filterValues(at -> at - nowNanos <= 0)
                                            .keySet());
                    return eligible.isEmpty()
                            ? HostRanking.firstTwo(customer, eligibleAt.keySet())
                            : eligible;
                });
    }

    /** Returns what this host may grant of the limit of a customer. */
    public Ownership ownership(CustomerName customer, long nowNanos) {
        return lock.withLock(() -> decideOwnership(customer, nowNanos));
    }

    private Ownership decideOwnership(CustomerName customer, long nowNanos) {
        Map<HostId, Long> eligible = currentHosts(nowNanos).filterValues(at -> at - nowNanos <= 0);
        boolean isFirst =
                HostRanking.firstTwo(customer, eligible.keySet()).headOption().contains(self);
        if (isFirst && isConfirmed(nowNanos) && !isBehindDeparted(customer, nowNanos)) {
            return new Ownership.Owner(ownerSince(eligible.get(self).get(), nowNanos));
        }
        boolean isNear =
                isFirst || HostRanking.firstTwo(customer, eligibleAt.keySet()).contains(self);
        return isNear ? new Ownership.Fallback() : new Ownership.None();
    }

    private boolean isBehindDeparted(CustomerName customer, long nowNanos) {
        Set<HostId> gone =
                departures
                        .filterValues(
                                host ->
                                        host.untilNanos() - nowNanos > 0
                                                && host.eligibleAtNanos() - nowNanos <= 0)
                        .keySet();
        return !HostRanking.firstTwo(customer, gone.add(self)).head().equals(self);
    }

    private long ownerSince(long eligibleAtNanos, long nowNanos) {
        return lastTakeoverAtNanos
                .filter(takeover -> takeover - nowNanos <= 0 && takeover - eligibleAtNanos > 0)
                .getOrElse(eligibleAtNanos);
    }
}
