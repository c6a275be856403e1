package org.tamarackfold.caller.limit;

import java.time.Duration;
import org.tamarackfold.operator.CallLimit;

/**
 * How far the calls of a customer may exceed its limit in a sliding window, and which part of that
 * each source of permits may use. The parts of one owner, one fallback and all local allowances add
 * up to 0.95 of the slack; the rest covers permits that are used later than they are granted.
 *
 * @param window the length of the sliding windows
 * @param overshoot the share of the limit by which a window may exceed it
 * @param tolerance the calls by which a window may exceed its limit besides
 */
public record LimitBounds(Duration window, double overshoot, int tolerance) {
    /** Part of the slack that the bucket of the owner holds beyond the burst. */
    private static final double OWNER_PART = 0.25;

    /** Part of the slack that a fallback grants in a window. */
    private static final double FALLBACK_PART = 0.4;

    /** Part of the slack that all hosts together use in a window without a reply. */
    private static final double LOCAL_PART = 0.1;

    /** Part of the slack that a bucket of a fallback, or of all local allowances, holds. */
    private static final double RESERVE_PART = 0.1;

    /** Returns the calls by which any window may exceed rate times window plus burst. */
    double slack(CallLimit limit) {
        return overshoot * (limit.callsPerSecond() * windowSeconds() + limit.burst()) + tolerance;
    }

    /** Returns the largest number of calls of any window. */
    public double maximumCalls(CallLimit limit) {
        return limit.callsPerSecond() * windowSeconds() + limit.burst() + slack(limit);
    }

    /** Returns the capacity of the bucket of the owner; at least one call, also without burst. */
    double ownerCapacity(CallLimit limit) {
        return Math.max(1, limit.burst() + OWNER_PART * slack(limit));
    }

    /**
     * Returns the rate of a host that is not the owner while the owner may be running. A quarter of
     * the limit, for comparison, exceeds the slack for limits above 27 calls a second.
     */
    double fallbackRate(CallLimit limit) {
        return Math.min(limit.callsPerSecond(), FALLBACK_PART * slack(limit) / windowSeconds());
    }

    /** Returns the capacity of the bucket of a fallback. */
    double fallbackCapacity(CallLimit limit) {
        return Math.max(1, RESERVE_PART * slack(limit));
    }

    /** Returns the rate at which a host sends calls while no other host answers. */
    double localRate(CallLimit limit, double ownShare) {
        return Math.min(
                ownShare * limit.callsPerSecond(),
                ownShare * LOCAL_PART * slack(limit) / windowSeconds());
    }

    /** Returns the capacity of the local allowance; below one call there is none. */
    double localCapacity(CallLimit limit, double ownShare) {
        return ownShare * RESERVE_PART * slack(limit);
    }

    private double windowSeconds() {
        return window.toNanos() / 1e9;
    }
}
