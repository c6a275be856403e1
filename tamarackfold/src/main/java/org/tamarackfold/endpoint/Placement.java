package org.tamarackfold.endpoint;

import org.tamarackfold.id.AvailabilityZone;

/** Cost of running a call at an endpoint; the cheapest endpoint is chosen. */
final class Placement {
    /** Added for an endpoint in another availability zone; a tenth of a slot taken. */
    private static final double OTHER_ZONE = 0.1;

    /** Taken off for the endpoint with the greatest rendezvous hash, in shares of its slots. */
    private static final double AFFINITY_BONUS = 0.2;

    /** Added for an endpoint that is paused after a failure, so that it is the last choice. */
    private static final double AVOIDED = 1000;

    /** Width of the random part that separates equal costs. */
    static final double TIE_BREAK = 0.05;

    /** Latency relative to the median of the service up to which an endpoint counts as normal. */
    private static final double NORMAL_RATIO = 1.25;

    /** Added for each multiple of the median beyond the normal ratio, in shares of the slots. */
    private static final double SLOW_WEIGHT = 0.25;

    /** Most that slowness adds, so that a slow endpoint is still chosen before a failing one. */
    private static final double SLOWEST = 5;

    /** Age at which a latency counts half, in ns; a noisy neighbour lasts about a second. */
    private static final double LATENCY_HALF_LIFE_NANOS = 1.5e9;

    private Placement() {}

    static double cost(
            EndpointState state,
            boolean preferred,
            AvailabilityZone ownZone,
            double medianLatencyMillis,
            long now) {
        EndpointRecord record = state.record();
        double load = (state.inFlight() + 1.0) / Math.max(1, record.slots());
        double cost = load + slowness(state, medianLatencyMillis, now);
        if (!record.zone().equals(ownZone)) {
            cost += OTHER_ZONE;
        }
        if (preferred) {
            cost -= AFFINITY_BONUS;
        }
        if (state.isAvoided(now)) {
            cost += AVOIDED;
        }
        return cost;
    }

    /**
     * The latency of an endpoint that receives no calls is forgotten, so that it is tried again.
     */
    private static double slowness(EndpointState state, double medianLatencyMillis, long now) {
        if (medianLatencyMillis == 0 || state.latencyMillis() == 0) {
            return 0;
        }
        double ratio = state.latencyMillis() / medianLatencyMillis;
        double freshness = Math.pow(0.5, state.latencyAgeNanos(now) / LATENCY_HALF_LIFE_NANOS);
        double slowness = SLOW_WEIGHT * (ratio - NORMAL_RATIO) * freshness;
        return Math.min(SLOWEST, Math.max(0, slowness));
    }

    static double rendezvous(String affinity, EndpointRecord record) {
        int hash = mix(mix(affinity.hashCode()) ^ record.id().value().hashCode());
        return (hash >>> 8) / (double) (1 << 24);
    }

    /** Spreads every bit over all others; similar names would otherwise have similar hashes. */
    private static int mix(int value) {
        int mixed = (value ^ (value >>> 16)) * 0x85EBCA6B;
        mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
        return mixed ^ (mixed >>> 16);
    }
}
