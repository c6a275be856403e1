package org.tamarackfold.endpoint.cost;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tamarackfold.endpoint.share.ReportedWork;
import org.tamarackfold.endpoint.share.ShareTable;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * Places each call at the endpoint where it is expected to be complete first. Learns the cost of
 * calls and the speed of endpoints from the attempts of this host, and the load of endpoints and
 * the places of programs also from the other hosts. Thread-safe; times are monotonic.
 */
public final class LearnedPlacement implements PlacementPolicy {
    /** Time after which an endpoint that receives no calls is forgotten. */
    private static final long FORGET_NANOS = 300_000_000_000L;

    /**
     * Placements that wait for a report; at 50 new programs a second of a host, those of ten
     * seconds.
     */
    private static final int MAXIMUM_UNREPORTED = 512;

    /**
     * Time after the last call in which a host goes on to report: a host that receives a call every
     * second must know the load and the places of programs when the next one arrives.
     */
    private static final long REPORTING_NANOS = 2_000_000_000L;

    /** Shorter parts of a call say nothing of speed: the network takes about as long. */
    private static final double MINIMUM_SAMPLE_MILLIS = 2;

    private final TableLock lock = new TableLock(LockRank.LOADS);
    private final CostModel model = new CostModel();
    private final ProgramEndpoints programs = new ProgramEndpoints();
    private final Map<ServiceName, ServiceState> services = new HashMap<>();
    private final HostId self;
    private final Option<ShareTable> shares;
    private volatile Runnable activityListener = () -> {};

    private static final class ServiceState {
        final Map<EndpointId, EndpointCondition> conditions = new HashMap<>();
        final Map<ProgramId, EndpointId> unreported = new LinkedHashMap<>();
        final MovingMean durations = new MovingMean();
        long placementsSeen;
        long activeAtNanos;
        Option<Long> totalsAtNanos = Option.none();

        double medianSpeed(long nowNanos) {
            double[] sorted =
                    conditions.values().stream()
                            .mapToDouble(condition -> condition.speed(nowNanos))
                            .sorted()
                            .toArray();
            return sorted.length == 0 ? 1 : sorted[sorted.length / 2];
        }

        OthersLoad othersLoad(long nowNanos) {
            double ageMillis = totalsAtNanos.map(at -> (nowNanos - at) / 1e6).getOrElse(0.0);
            return new OthersLoad(conditions.values(), ageMillis, durations.mean(), nowNanos);
        }

        boolean hasTotals(long nowNanos) {
            return totalsAtNanos.exists(at -> nowNanos - at <= EndpointLoad.TOTALS_VALIDITY_NANOS);
        }

        boolean isIdle(long nowNanos) {
            return nowNanos - activeAtNanos > REPORTING_NANOS
                    && conditions.values().stream().allMatch(EndpointCondition::isIdle);
        }
    }

    /** Creates the placement of a host that knows of no calls. */
    public LearnedPlacement(HostId self) {
        this(self, Option.none());
    }

    /**
     * Creates the placement of a host that knows of no calls.
     *
     * @param shares receives who is over its share; without it, customers are not reported
     */
    public LearnedPlacement(HostId self, Option<ShareTable> shares) {
        this.self = self;
        this.shares = shares;
    }

    /** Returns who is over its share; none where no shares are computed. */
    public Option<ShareTable> shares() {
        return shares;
    }

    /** Sets what runs whenever a call starts; replaces the listener before. */
    public void whenCallStarts(Runnable listener) {
        activityListener = listener;
    }

    /** Returns when a call is expected to be complete at the endpoints of a service. */
    public CompletionTimes completionTimes(ServiceName service, CallProfile call, long nowNanos) {
        return lock.withLock(
                () -> {
                    ServiceState state = services.getOrDefault(service, new ServiceState());
                    Option<ProgramEndpoints.Place> place = call.program().flatMap(programs::get);
                    OthersLoad others = state.othersLoad(nowNanos);
                    Map<EndpointId, CompletionTimes.Condition> conditions = new HashMap<>();
                    state.conditions.forEach(
                            (id, known) ->
                                    conditions.put(id, view(known, place, others, nowNanos)));
                    return new CompletionTimes(
                            model,
                            call,
                            place.map(ProgramEndpoints.Place::endpoint),
                            state.hasTotals(nowNanos),
                            conditions,
                            state.medianSpeed(nowNanos));
                });
    }

    private static CompletionTimes.Condition view(
            EndpointCondition known,
            Option<ProgramEndpoints.Place> place,
            OthersLoad others,
            long nowNanos) {
        return new CompletionTimes.Condition(
                known.instance().startedAtMillis(),
                known.speed(nowNanos),
                known.ownRemainingMillis(nowNanos) + others.remainingMillis(known),
                known.load().ownInFlight() + others.inFlight(known),
                place.exists(at -> at.sinceNanos() - known.knownSinceNanos() >= 0));
    }

    /**
     * Records that an attempt begins at an endpoint.
     *
     * @param kept what the endpoint is expected to have kept of the prompt
     */
    public CallInFlight start(
            EndpointInstance instance, CallProfile call, Kept kept, long nowNanos) {
        CallInFlight started = lock.withLock(() -> add(instance, call, kept, nowNanos));
        activityListener.run();
        return started;
    }

    private CallInFlight add(
            EndpointInstance instance, CallProfile call, Kept kept, long nowNanos) {
        ServiceState state =
                services.computeIfAbsent(instance.service(), unused -> new ServiceState());
        EndpointCondition condition = condition(state, instance, nowNanos);
        CallInFlight inFlight =
                new CallInFlight(
                        instance.service(),
                        instance.id(),
                        call,
                        kept,
                        model.estimate(call, kept),
                        nowNanos,
                        condition.inFlight(nowNanos));
        condition.start(inFlight, nowNanos);
        state.activeAtNanos = nowNanos;
        for (ProgramId program : call.program()) {
            if (programs.put(program, instance.id(), condition.knownSinceNanos(), nowNanos)
                    && state.unreported.size() < MAXIMUM_UNREPORTED) {
                state.unreported.put(program, instance.id());
            }
        }
        return inFlight;
    }

    /** Returns the condition of an endpoint; a new one after a restart, which loses the old. */
    private static EndpointCondition condition(
            ServiceState state, EndpointInstance instance, long nowNanos) {
        EndpointCondition known = state.conditions.get(instance.id());
        if (known != null && known.instance().startedAtMillis() == instance.startedAtMillis()) {
            known.setSlots(instance.slots());
            return known;
        }
        EndpointCondition condition = new EndpointCondition(instance, nowNanos);
        state.conditions.put(instance.id(), condition);
        return condition;
    }

    /** Records that the first event of a response, or its head, has arrived. */
    public void recordFirstEvent(CallInFlight call, long nowNanos) {
        lock.run(
                () -> {
                    if (call.hasFirstEvent()) {
                        return;
                    }
                    call.setFirstEvent(nowNanos);
                    conditionOf(call)
                            .forEach(
                                    condition ->
                                            addSpeedSample(
                                                    condition,
                                                    call,
                                                    call.estimate().untilFirstEvent(),
                                                    call.millisToFirstEvent(),
                                                    nowNanos));
                });
    }

    /** Records that an attempt has ended with a complete response. */
    public void recordCompleted(CallInFlight call, long nowNanos) {
        lock.run(
                () -> {
                    for (EndpointCondition condition : conditionOf(call)) {
                        condition.end(call);
                        learn(condition, call, nowNanos);
                    }
                });
    }

    /** Records that an attempt has ended otherwise, which shows nothing about its cost. */
    public void recordAbandoned(CallInFlight call) {
        lock.run(() -> conditionOf(call).forEach(condition -> condition.end(call)));
    }

    /** Returns the condition of the endpoint; none if it has restarted since the call began. */
    private Option<EndpointCondition> conditionOf(CallInFlight call) {
        return Option.of(services.get(call.service()))
                .flatMap(state -> Option.of(state.conditions.get(call.endpoint())))
                .filter(condition -> condition.load().contains(call));
    }

    private void learn(EndpointCondition condition, CallInFlight call, long nowNanos) {
        double total = call.elapsedMillis(nowNanos);
        double first = call.hasFirstEvent() ? call.millisToFirstEvent() : total;
        ServiceState state = services.get(call.service());
        state.durations.add(total);
        double median = state.medianSpeed(nowNanos);
        double scale = condition.speed(nowNanos) / median / slowdown(condition, call, nowNanos);
        CostEstimate expected = call.estimate();
        model.record(call.call(), call.kept(), total * scale, first * scale);
        if (call.hasFirstEvent()) {
            double rest = expected.total() - expected.untilFirstEvent();
            addSpeedSample(condition, call, rest, total - first, nowNanos);
        } else {
            addSpeedSample(condition, call, expected.total(), total, nowNanos);
        }
    }

    /** Returns the slowdown by the mean of the calls beside this one at its start and now. */
    private static double slowdown(EndpointCondition condition, CallInFlight call, long nowNanos) {
        return condition.slowdown((call.othersAtStart() + condition.inFlight(nowNanos)) / 2);
    }

    private static void addSpeedSample(
            EndpointCondition condition,
            CallInFlight call,
            double expectedMillis,
            double observedMillis,
            long nowNanos) {
        if (!call.estimate().learned()
                || expectedMillis < MINIMUM_SAMPLE_MILLIS
                || observedMillis <= 0) {
            return;
        }
        double expectedBesideOthers = expectedMillis * slowdown(condition, call, nowNanos);
        condition.addSpeedSample(expectedBesideOthers / observedMillis, nowNanos);
    }

    /** Returns the reports that are due; none while this host has nothing to report. */
    public Vector<LoadReport> takeReports(long nowNanos) {
        return lock.withLock(
                () ->
                        Vector.ofAll(services.entrySet())
                                .filter(entry -> !entry.getValue().isIdle(nowNanos))
                                .map(entry -> report(entry.getKey(), entry.getValue(), nowNanos)));
    }

    private LoadReport report(ServiceName service, ServiceState state, long nowNanos) {
        List<EndpointReport> endpoints = new ArrayList<>();
        state.conditions.values().removeIf(condition -> isForgotten(condition, nowNanos));
        for (EndpointCondition condition : state.conditions.values()) {
            if (!condition.isIdle()) {
                endpoints.add(condition.takeReport(nowNanos));
            }
        }
        List<ProgramPlacement> placements = new ArrayList<>();
        state.unreported.forEach(
                (program, endpoint) -> placements.add(new ProgramPlacement(program, endpoint)));
        return new LoadReport(
                self,
                service,
                Vector.ofAll(endpoints),
                Vector.ofAll(placements),
                state.placementsSeen,
                shares.isDefined() ? customerWork(state, nowNanos) : ReportedWork.NONE);
    }

    private static ReportedWork customerWork(ServiceState state, long nowNanos) {
        Map<CustomerName, Double> sums = new HashMap<>();
        state.conditions.values().forEach(known -> known.addCustomerWork(sums, nowNanos));
        return ReportedWork.of(sums);
    }

    private static boolean isForgotten(EndpointCondition condition, long nowNanos) {
        return condition.isIdle() && nowNanos - condition.usedAtNanos() > FORGET_NANOS;
    }

    /** Applies the totals that were received in reply to a report. */
    public void adopt(LoadReport report, LoadTotals totals, long nowNanos) {
        shares.forEach(table -> table.adopt(report.service(), totals.shares(), nowNanos));
        lock.run(
                () -> {
                    ServiceState state = services.get(report.service());
                    if (state == null) {
                        return;
                    }
                    for (EndpointReport total : totals.endpoints()) {
                        adoptEndpoint(state, total, report, nowNanos);
                    }
                    report.placements()
                            .forEach(
                                    sent ->
                                            state.unreported.remove(
                                                    sent.program(), sent.endpoint()));
                    totals.placements()
                            .filter(placed -> !state.unreported.containsKey(placed.program()))
                            .forEach(
                                    placed ->
                                            programs.put(
                                                    placed.program(),
                                                    placed.endpoint(),
                                                    nowNanos,
                                                    nowNanos));
                    state.placementsSeen = totals.placementsSequence();
                    state.totalsAtNanos = Option.some(nowNanos);
                });
    }

    private static void adoptEndpoint(
            ServiceState state, EndpointReport total, LoadReport report, long nowNanos) {
        EndpointCondition known = state.conditions.get(total.endpoint());
        if (known == null) {
            EndpointInstance instance =
                    new EndpointInstance(
                            total.endpoint(),
                            report.service(),
                            EndpointCondition.UNKNOWN_SLOTS,
                            total.startedAtMillis());
            known = new EndpointCondition(instance, nowNanos);
            state.conditions.put(total.endpoint(), known);
        }
        if (known.instance().startedAtMillis() == total.startedAtMillis()) {
            known.adopt(
                    total,
                    report.endpoints().find(own -> own.endpoint().equals(total.endpoint())),
                    nowNanos);
        }
    }
}
