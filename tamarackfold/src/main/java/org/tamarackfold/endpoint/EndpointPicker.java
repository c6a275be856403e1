package org.tamarackfold.endpoint;

import io.vavr.collection.Stream;
import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.tamarackfold.endpoint.cost.CallProfile;
import org.tamarackfold.endpoint.cost.Candidate;
import org.tamarackfold.endpoint.cost.CompletionTimes;
import org.tamarackfold.endpoint.cost.EndpointInstance;
import org.tamarackfold.endpoint.cost.Kept;
import org.tamarackfold.endpoint.cost.LearnedPlacement;
import org.tamarackfold.endpoint.cost.PlacementPolicy;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/**
 * Picks one of the endpoints that may receive a call now, by the policy of the host. Created before
 * the lock of the endpoint table is taken, because it reads what the policy has learned.
 */
final class EndpointPicker {
    private final SelectionRequest request;
    private final AvailabilityZone localZone;
    private final RandomGenerator random;
    private final double ownShare;
    private final long nowNanos;

    /** None where the existing rule applies. */
    private final Option<CompletionTimes> completionTimes;

    /**
     * The endpoint that was picked.
     *
     * @param kept what it is expected to have kept of the prompt
     */
    record Picked(EndpointState state, Kept kept) {
        /** Counts the call as in flight there. */
        Selection.Selected toSelection() {
            state.countSentCall();
            return new Selection.Selected(
                    state.record(), state.inFlight(), state.rateLimit(), state.isReachable(), kept);
        }
    }

    private EndpointPicker(
            SelectionRequest request,
            AvailabilityZone localZone,
            RandomGenerator random,
            double ownShare,
            long nowNanos,
            Option<CompletionTimes> completionTimes) {
        this.request = request;
        this.localZone = localZone;
        this.random = random;
        this.ownShare = ownShare;
        this.nowNanos = nowNanos;
        this.completionTimes = completionTimes;
    }

    /** Creates the picker for a call. A call without a profile is placed by the existing rule. */
    static EndpointPicker of(
            PlacementPolicy policy,
            SelectionRequest request,
            AvailabilityZone localZone,
            RandomGenerator random,
            double ownShare,
            long nowNanos) {
        Option<CompletionTimes> completionTimes =
                switch (policy) {
                    case PlacementPolicy.LeastInFlight() -> Option.none();
                    case LearnedPlacement learned ->
                            request.profile()
                                    .map(
                                            call ->
                                                    learned.completionTimes(
                                                            request.service(), call, nowNanos));
                };
        return new EndpointPicker(request, localZone, random, ownShare, nowNanos, completionTimes);
    }

    ServiceName service() {
        return request.service();
    }

    /**
     * Picks an endpoint.
     *
     * @param eligible the endpoints that may run the call, whether or not their limits leave it now
     * @param open those whose limits do; at least one
     * @param ofService all endpoints of the service
     * @param rate the calls of this host to the service
     */
    Picked pick(
            List<EndpointState> eligible,
            List<EndpointState> open,
            Stream<EndpointState> ofService,
            CallRate rate) {
        AffinityPreference preference =
                new AffinityPreference(eligible, ownShare, rate.perSecond(nowNanos));
        Predicate<EndpointState> usable = state -> !state.isInBackoff(nowNanos);
        Option<EndpointState> preferred =
                affinityKey().flatMap(key -> preference.preferred(key, open, usable));
        return completionTimes
                .map(times -> earliest(times, open, preferred))
                .getOrElse(() -> cheapest(open, preferred, medianLatencyMillis(ofService)));
    }

    /** A program prefers where its history is kept; only shared parts are placed by a hash. */
    private Option<String> affinityKey() {
        return completionTimes.isDefined()
                ? request.profile().flatMap(call -> call.sharedPart())
                : request.affinityKey();
    }

    private Picked earliest(
            CompletionTimes times, List<EndpointState> open, Option<EndpointState> preferred) {
        Map<EndpointId, EndpointState> byId =
                open.stream()
                        .collect(
                                Collectors.toMap(
                                        state -> state.record().id(), Function.identity()));
        List<Candidate> candidates =
                open.stream().map(state -> candidate(state, preferred.contains(state))).toList();
        CompletionTimes.Choice choice = times.choose(candidates);
        return new Picked(byId.get(choice.candidate().instance().id()), choice.kept());
    }

    private Candidate candidate(EndpointState state, boolean preferred) {
        EndpointRecord record = state.record();
        EndpointInstance instance =
                new EndpointInstance(
                        record.id(), record.service(), record.slots(), record.startedAtMillis());
        double penalty = EndpointCost.penalty(state, preferred, localZone, nowNanos);
        return new Candidate(instance, preferred, hash(record), penalty);
    }

    /**
     * Returns the hash by which candidates are compared. Calls without a program have a random one:
     * many of them may share one key, and would use only the few endpoints that it ranks first.
     */
    private double hash(EndpointRecord record) {
        return request.profile()
                .flatMap(CallProfile::program)
                .map(program -> EndpointCost.rendezvousHash(program.value(), record))
                .getOrElse(random::nextDouble);
    }

    private Picked cheapest(
            List<EndpointState> open, Option<EndpointState> preferred, double medianLatencyMillis) {
        EndpointState cheapest = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (EndpointState state : open) {
            double cost =
                    EndpointCost.cost(
                                    state,
                                    preferred.contains(state),
                                    localZone,
                                    medianLatencyMillis,
                                    nowNanos)
                            + random.nextDouble() * EndpointCost.TIE_BREAK_JITTER;
            if (cost < lowestCost) {
                cheapest = state;
                lowestCost = cost;
            }
        }
        return new Picked(cheapest, Kept.NOTHING);
    }

    /**
     * Returns the median latency of a service, 0 without samples. Endpoints at a rate limit count
     * only if all have one: they are nearly idle, so that others would seem slow beside them.
     */
    private static double medianLatencyMillis(Stream<EndpointState> ofService) {
        List<EndpointState> sampled =
                ofService.filter(state -> state.latencyMillis() > 0).toJavaList();
        List<EndpointState> unlimited =
                sampled.stream().filter(state -> !state.isLimited()).toList();
        double[] sorted =
                (unlimited.isEmpty() ? sampled : unlimited)
                        .stream().mapToDouble(EndpointState::latencyMillis).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }
}
