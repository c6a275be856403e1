package org.tamarackfold.endpoint;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the endpoint that the calls of one affinity key prefer, by weighted rendezvous hashing. A
 * rate-limited endpoint is preferred by as many keys as its limit lets this host serve there.
 * Otherwise most of their calls would go elsewhere, and to a different endpoint each time when
 * several are limited; each of those would process the whole prompt again.
 */
final class AffinityPreference {
    private final List<EndpointState> eligible;
    private final double limitedWeightPerCall;

    /**
     * Creates the preference among the endpoints of one service.
     *
     * @param eligible the endpoints, whether or not their limits leave a call now
     * @param ownShare the part of each limit that this host may use
     * @param callsPerSecond the calls of this host to the service
     */
    AffinityPreference(List<EndpointState> eligible, double ownShare, double callsPerSecond) {
        this.eligible = eligible;
        this.limitedWeightPerCall = limitedWeightPerCall(eligible, ownShare, callsPerSecond);
    }

    /**
     * Returns the weight of a limited endpoint for each call a second of its limit, when an
     * unlimited endpoint has weight 1: limited endpoints are preferred by the part of the calls
     * that their limits admit, unlimited ones by the rest.
     */
    private static double limitedWeightPerCall(
            List<EndpointState> eligible, double ownShare, double callsPerSecond) {
        double admittedPerSecond =
                eligible.stream().mapToDouble(EndpointState::limitPerSecond).sum() * ownShare;
        long unlimitedCount = eligible.stream().filter(state -> !state.isLimited()).count();
        double restPerSecond = callsPerSecond - admittedPerSecond;
        return unlimitedCount == 0 || restPerSecond <= 0
                ? 1
                : ownShare * unlimitedCount / restPerSecond;
    }

    /**
     * Returns the endpoint that a key prefers, among those that may receive a call now. When the
     * limit of the first choice leaves none, it is an unlimited endpoint, the same one each time.
     */
    Option<EndpointState> preferred(
            String affinityKey, List<EndpointState> open, Predicate<EndpointState> usable) {
        Option<EndpointState> first = best(affinityKey, eligible, usable);
        if (first.isEmpty() || open.contains(first.get())) {
            return first;
        }
        return best(affinityKey, open, usable.and(state -> !state.isLimited()))
                .orElse(() -> best(affinityKey, open, usable));
    }

    private Option<EndpointState> best(
            String affinityKey, List<EndpointState> candidates, Predicate<EndpointState> usable) {
        return Option.ofOptional(
                candidates.stream()
                        .filter(usable)
                        .min(Comparator.comparingDouble(state -> score(affinityKey, state))));
    }

    private double score(String affinityKey, EndpointState state) {
        double weight =
                state.isLimited() ? Math.min(1, limitedWeightPerCall * state.limitPerSecond()) : 1;
        return -Math.log(EndpointCost.rendezvousHash(affinityKey, state.record())) / weight;
    }
}
