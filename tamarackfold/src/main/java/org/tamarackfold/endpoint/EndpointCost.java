package org.tamarackfold.endpoint;

import org.tamarackfold.id.AvailabilityZone;

/**
 * Cost of running a call at an endpoint; the endpoint with the lowest cost is selected. A cost of 1
 * corresponds to an endpoint whose last free slot the call would use.
 */
final class EndpointCost {
    /** Added for an endpoint in another availability zone; as much as a tenth of its slots. */
    private static final double CROSS_ZONE_PENALTY = 0.1;

    /**
     * Subtracted for the endpoint that the affinity key prefers; as much as six tenths of its
     * slots. A call elsewhere takes more of the capacity of the service, because its whole prompt
     * is processed again: under load, programs that move to less loaded endpoints slow all of them.
     */
    private static final double AFFINITY_BONUS = 0.6;

    /**
     * Subtracted for a rate-limited endpoint that may receive a call now: its slots are idle most
     * of the time, and the permit expires. Calls leave a preferred endpoint for it once this host
     * uses a quarter of the slots there.
     */
    private static final double PERMIT_BONUS = 0.35;

    /**
     * Added for an endpoint that only other hosts reach. Such a call takes the processor time of
     * two hosts; but where only some endpoints are out of reach, the others must not receive the
     * calls of all.
     */
    private static final double FORWARDING_PENALTY = 0.3;

    /**
     * Added for an endpoint in back-off after a failure, so that every other eligible endpoint is
     * selected before it.
     */
    private static final double BACKOFF_PENALTY = 1000;

    /** Upper bound of the random addend that spreads calls over endpoints of equal cost. */
    static final double TIE_BREAK_JITTER = 0.05;

    /** Ratio of latency to the median of the service up to which an endpoint is not penalized. */
    private static final double SLOW_THRESHOLD_RATIO = 1.25;

    /** Penalty for each multiple of the median latency above the threshold. */
    private static final double SLOWNESS_WEIGHT = 0.25;

    /** Less than the back-off penalty, so that a slow endpoint is preferred to a failing one. */
    private static final double MAXIMUM_SLOWNESS_PENALTY = 5;

    /**
     * Age at which the measured latency counts half. Interference from other workloads on the
     * machine of the endpoint (noisy neighbours) lasts about 1 s.
     */
    private static final double LATENCY_HALF_LIFE_NANOS = 1.5e9;

    private EndpointCost() {}

    static double cost(
            EndpointState state,
            boolean preferred,
            AvailabilityZone localZone,
            double medianLatencyMillis,
            long nowNanos) {
        double utilization = (state.inFlight() + 1.0) / Math.max(1, state.record().slots());
        double cost =
                utilization
                        + slownessPenalty(state, medianLatencyMillis, nowNanos)
                        + penalty(state, preferred, localZone, nowNanos);
        return preferred ? cost - AFFINITY_BONUS : cost;
    }

    /**
     * Returns the part of the cost that depends neither on load and speed nor on what the endpoint
     * keeps.
     */
    static double penalty(
            EndpointState state, boolean preferred, AvailabilityZone localZone, long nowNanos) {
        double penalty = state.record().zone().equals(localZone) ? 0 : CROSS_ZONE_PENALTY;
        if (!preferred && state.isLimited()) {
            penalty -= PERMIT_BONUS;
        }
        if (!state.isReachable()) {
            penalty += FORWARDING_PENALTY;
        }
        if (state.isInBackoff(nowNanos)) {
            penalty += BACKOFF_PENALTY;
        }
        return penalty;
    }

    /**
     * Returns the penalty for a latency above the median. It decays with the age of the last
     * sample: an endpoint that receives no calls yields no samples and must become eligible again.
     */
    private static double slownessPenalty(
            EndpointState state, double medianLatencyMillis, long nowNanos) {
        if (medianLatencyMillis == 0 || state.latencyMillis() == 0) {
            return 0;
        }
        double ratio = state.latencyMillis() / medianLatencyMillis;
        double decay = Math.pow(0.5, state.latencyAgeNanos(nowNanos) / LATENCY_HALF_LIFE_NANOS);
        double penalty = SLOWNESS_WEIGHT * (ratio - SLOW_THRESHOLD_RATIO) * decay;
        return Math.min(MAXIMUM_SLOWNESS_PENALTY, Math.max(0, penalty));
    }

    /** Returns the rendezvous hash of an affinity key and an endpoint, from 0 to below 1. */
    static double rendezvousHash(String affinityKey, EndpointRecord record) {
        int hash = mix(mix(affinityKey.hashCode()) ^ record.id().value().hashCode());
        return (hash >>> 8) / (double) (1 << 24);
    }

    /** Finalizer of MurmurHash3; without it, similar names would have similar hashes. */
    private static int mix(int value) {
        int mixed = (value ^ (value >>> 16)) * 0x85EBCA6B;
        mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
        return mixed ^ (mixed >>> 16);
    }
}
