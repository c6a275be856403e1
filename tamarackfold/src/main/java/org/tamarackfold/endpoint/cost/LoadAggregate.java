package org.tamarackfold.endpoint.cost;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tamarackfold.endpoint.share.CapacityView;
import org.tamarackfold.endpoint.share.ServiceCapacity;
import org.tamarackfold.endpoint.share.ServiceLoad;
import org.tamarackfold.endpoint.share.ServiceShares;
import org.tamarackfold.endpoint.share.ShareTotals;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * Adds up the reports of all hosts about the services that this host is the aggregating host of.
 * The state is soft: the next reports bring it back. Thread-safe; times are monotonic.
 */
public final class LoadAggregate {
    /** Time for which a placement is passed on; a program is rarely idle for longer. */
    private static final long PLACEMENT_NANOS = 10_000_000_000L;

    /** Placements that are kept of a service; ten seconds of 400 new programs a second. */
    private static final int MAXIMUM_PLACEMENTS = 4_096;

    /**
     * Time after which an endpoint is forgotten that no host reports, whether it was sampled or
     * not; nothing of its speed is left by then.
     */
    private static final long FORGET_NANOS = 300_000_000_000L;

    /**
     * Time without a report of a start after which an earlier one counts again: the clock of an
     * endpoint may have been ahead at one start. Hosts report calls that wait at a start which has
     * ended for as long as these last, which is less.
     */
    private static final long EARLIER_START_NANOS = 10_000_000_000L;

    private final TableLock lock = new TableLock(LockRank.LOADS);
    private final Map<ServiceName, ServiceTotals> services = new HashMap<>();
    private final long firstSequence;
    private final Option<CapacityView> capacity;

    private record Received(LoadReport report, long atNanos) {}

    /** The speed of one start of an endpoint, and when a host reported this start last. */
    private record StartedSpeed(long startedAtMillis, EndpointSpeed speed, long reportedAtNanos) {
        StartedSpeed reportedAt(long nowNanos) {
            return new StartedSpeed(startedAtMillis, speed, nowNanos);
        }

        boolean isForgotten(long nowNanos) {
            return nowNanos - reportedAtNanos > FORGET_NANOS;
        }
    }

    private record Placed(long sequence, HostId by, ProgramPlacement placement, long atNanos) {}

    private static final class ServiceTotals {
        final Map<HostId, Received> reports = new HashMap<>();
        final Map<EndpointId, StartedSpeed> speeds = new HashMap<>();
        final Deque<Placed> placements = new ArrayDeque<>();
        final ServiceShares shares = new ServiceShares();
        long sequence;
    }

    /**
     * Creates an aggregate without reports.
     *
     * @param firstSequence greater than all sequence numbers of an earlier process of this host, so
     *     that hosts which have seen those receive all placements again
     */
    public LoadAggregate(long firstSequence) {
        this(firstSequence, Option.none());
    }

    /**
     * Creates an aggregate without reports.
     *
     * @param firstSequence as above
     * @param capacity the capacity to divide among customers; without it no shares are computed
     */
    public LoadAggregate(long firstSequence, Option<CapacityView> capacity) {
        this.firstSequence = firstSequence;
        this.capacity = capacity;
    }

    /** Adds the report of a host, in place of its last one; returns the totals with it. */
    public LoadTotals add(LoadReport report, long nowNanos) {
        Option<ServiceCapacity> known = capacity.map(view -> view.of(report.service()));
        return lock.withLock(
                () -> {
                    ServiceTotals totals =
                            services.computeIfAbsent(report.service(), unused -> newTotals());
                    totals.reports.put(report.host(), new Received(report, nowNanos));
                    totals.reports.values().removeIf(received -> isStale(received, nowNanos));
                    addSamples(totals, report, nowNanos);
                    addPlacements(totals, report, nowNanos);
                    Vector<EndpointReport> sums = sum(totals, nowNanos);
                    return new LoadTotals(
                            sums,
                            placementsFor(totals, report),
                            totals.sequence,
                            known.map(slots -> shares(totals, slots, sums, nowNanos))
                                    .getOrElse(ShareTotals.NONE));
                });
    }

    private ServiceTotals newTotals() {
        ServiceTotals totals = new ServiceTotals();
        totals.sequence = firstSequence;
        return totals;
    }

    private static boolean isStale(Received received, long nowNanos) {
        return nowNanos - received.atNanos() > EndpointLoad.TOTALS_VALIDITY_NANOS;
    }

    /** Adds the speed samples; another start of an endpoint loses those of the one before. */
    private static void addSamples(ServiceTotals totals, LoadReport report, long nowNanos) {
        for (EndpointReport endpoint : report.endpoints()) {
            StartedSpeed known = totals.speeds.get(endpoint.endpoint());
            if (known == null || isReplacedBy(known, endpoint.startedAtMillis(), nowNanos)) {
                known = new StartedSpeed(endpoint.startedAtMillis(), new EndpointSpeed(), nowNanos);
            }
            if (known.startedAtMillis() != endpoint.startedAtMillis()) {
                continue;
            }
            totals.speeds.put(endpoint.endpoint(), known.reportedAt(nowNanos));
            if (endpoint.speedSamples() > 0) {
                known.speed().add(endpoint.speed(), endpoint.speedSamples(), nowNanos);
            }
        }
    }

    /** A host may report calls at an earlier start while others report those at the new one. */
    private static boolean isReplacedBy(StartedSpeed known, long startedAtMillis, long nowNanos) {
        return startedAtMillis > known.startedAtMillis()
                || startedAtMillis < known.startedAtMillis()
                        && nowNanos - known.reportedAtNanos() > EARLIER_START_NANOS;
    }

    private static void addPlacements(ServiceTotals totals, LoadReport report, long nowNanos) {
        for (ProgramPlacement placement : report.placements()) {
            totals.sequence++;
            totals.placements.add(new Placed(totals.sequence, report.host(), placement, nowNanos));
        }
        while (!totals.placements.isEmpty()
                && (totals.placements.size() > MAXIMUM_PLACEMENTS
                        || nowNanos - totals.placements.peek().atNanos() > PLACEMENT_NANOS)) {
            totals.placements.remove();
        }
    }

    /** Returns the totals, also of endpoints that were sampled lately but run no call now. */
    private static Vector<EndpointReport> sum(ServiceTotals totals, long nowNanos) {
        totals.speeds.values().removeIf(known -> known.isForgotten(nowNanos));
        Map<EndpointId, EndpointReport> sums = new HashMap<>();
        totals.speeds.forEach((id, known) -> sums.put(id, idle(id, known, nowNanos)));
        for (Received received : totals.reports.values()) {
            for (EndpointReport endpoint : received.report().endpoints()) {
                sums.computeIfPresent(
                        endpoint.endpoint(), (unused, total) -> plus(total, endpoint));
            }
        }
        return Vector.ofAll(sums.values());
    }

    private static EndpointReport idle(EndpointId id, StartedSpeed known, long nowNanos) {
        boolean sampled = known.speed().hasSamples();
        double speed = known.speed().current(nowNanos);
        return new EndpointReport(id, known.startedAtMillis(), 0, 0, speed, sampled ? 1 : 0);
    }

    private static EndpointReport plus(EndpointReport total, EndpointReport added) {
        if (added.startedAtMillis() != total.startedAtMillis()) {
            return total;
        }
        return new EndpointReport(
                total.endpoint(),
                total.startedAtMillis(),
                total.remainingMillis() + added.remainingMillis(),
                total.inFlight() + added.inFlight(),
                total.speed(),
                total.speedSamples());
    }

    private static ShareTotals shares(
            ServiceTotals totals,
            ServiceCapacity capacity,
            Vector<EndpointReport> sums,
            long nowNanos) {
        Vector<EndpointReport> eligible =
                sums.filter(known -> capacity.isEligible(known.endpoint()));
        ServiceLoad load =
                new ServiceLoad(
                        eligible.map(EndpointReport::inFlight).sum().intValue(),
                        eligible.map(EndpointReport::remainingMillis).sum().doubleValue(),
                        eligible.map(EndpointReport::speed).average().getOrElse(1.0));
        return totals.shares.totals(
                capacity,
                load,
                () -> Vector.ofAll(totals.reports.values()).map(known -> known.report().work()),
                nowNanos);
    }

    /**
     * Returns the placements that a host has not seen. One that has seen a higher sequence number
     * was sent it by another aggregating host, and receives all.
     */
    private static Vector<ProgramPlacement> placementsFor(ServiceTotals totals, LoadReport report) {
        long seen = report.placementsSeen() > totals.sequence ? 0 : report.placementsSeen();
        List<ProgramPlacement> unseen = new ArrayList<>();
        for (Placed placed : totals.placements) {
            if (placed.sequence() > seen && !placed.by().equals(report.host())) {
                unseen.add(placed.placement());
            }
        }
        return Vector.ofAll(unseen);
    }
}
