package org.tamarackfold.endpoint;

import org.tamarackfold.id.AvailabilityZone;

/** Cost of running a call at an endpoint; the cheapest endpoint is chosen. */
final class Placement {
    /** Added for an endpoint in another availability zone; a tenth of a slot taken. */
    private static final double OTHER_ZONE = 0.1;

    /** Taken off for the endpoint with the greatest rendezvous hash, in shares of its slots. */
    private static final double AFFINITY_BONUS = 0.3;

    /** Added for an endpoint that is paused after a failure, so that it is the last choice. */
    private static final double AVOIDED = 1000;

    /** Width of the random part that separates equal costs. */
    static final double TIE_BREAK = 0.05;

    /** Latency relative to the median of the service from which an endpoint counts as slow. */
    private static final double SLOW_RATIO = 2;

    private Placement() {}

    static double cost(
            EndpointState state,
            boolean favourite,
            AvailabilityZone ownZone,
            double medianLatencyMillis,
            long now) {
        EndpointRecord record = state.record();
        double load = (state.inFlight() + 1.0) / Math.max(1, record.slots());
        double cost = load * slowness(state, medianLatencyMillis);
        if (!record.zone().equals(ownZone)) {
            cost += OTHER_ZONE;
        }
        if (favourite) {
            cost -= AFFINITY_BONUS;
        }
        if (state.isAvoided(now)) {
            cost += AVOIDED;
        }
        return cost;
    }

    private static double slowness(EndpointState state, double medianLatencyMillis) {
        if (medianLatencyMillis == 0 || state.latencyMillis() == 0) {
            return 1;
        }
        double ratio = state.latencyMillis() / medianLatencyMillis;
        return ratio < SLOW_RATIO ? 1 : ratio * ratio;
    }

    static double rendezvous(String affinity, EndpointRecord record) {
        int hash = (affinity + '/' + record.id()).hashCode() * 0x9E3779B9;
        return (hash >>> 8) / (double) (1 << 24);
    }
}
