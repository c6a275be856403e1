package org.tamarackfold.endpoint.cost;

import java.util.Collection;

/**
 * The load that the other hosts have put on the endpoints of a service, as it is expected now. The
 * totals are some 100 ms old: of calls that end sooner, they only show how many there are, not at
 * which endpoint. What is known of one endpoint is therefore mixed with the mean of all, by the
 * part of the calls that still run.
 */
final class OthersLoad {
    /** Mean age of the reports in totals when they arrive: half an interval and two ways. */
    private static final double REPORT_AGE_MILLIS = 55;

    private final double freshPart;
    private final double remainingMillisOfASlot;
    private final double inFlightOfASlot;
    private final long nowNanos;

    /**
     * Creates the view of the totals that this host received last.
     *
     * @param ageMillis the time since they arrived
     * @param callMillis the mean time that a call of the service takes
     */
    OthersLoad(
            Collection<EndpointCondition> conditions,
            double ageMillis,
            double callMillis,
            long nowNanos) {
        this.freshPart = Math.exp(-(ageMillis + REPORT_AGE_MILLIS) / Math.max(1, callMillis));
        this.nowNanos = nowNanos;
        double remainingMillis = 0;
        int inFlight = 0;
        int slots = 0;
        for (EndpointCondition condition : conditions) {
            if (condition.hasSlots()) {
                remainingMillis += condition.load().othersRemainingMillis(nowNanos);
                inFlight += condition.load().othersInFlight(nowNanos);
                slots += condition.instance().slots();
            }
        }
        this.remainingMillisOfASlot = remainingMillis / Math.max(1, slots);
        this.inFlightOfASlot = inFlight / (double) Math.max(1, slots);
    }

    double remainingMillis(EndpointCondition condition) {
        double reported = condition.load().othersRemainingMillis(nowNanos);
        return mix(condition, reported, remainingMillisOfASlot);
    }

    double inFlight(EndpointCondition condition) {
        return mix(condition, condition.load().othersInFlight(nowNanos), inFlightOfASlot);
    }

    private double mix(EndpointCondition condition, double reported, double meanOfASlot) {
        return condition.hasSlots()
                ? freshPart * reported
                        + (1 - freshPart) * meanOfASlot * condition.instance().slots()
                : reported;
    }
}
