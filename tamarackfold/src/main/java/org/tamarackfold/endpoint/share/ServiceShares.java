package org.tamarackfold.endpoint.share;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.tamarackfold.id.CustomerName;

/**
 * Decides for its aggregating host whether a service is short of capacity, and who is over its
 * share of it. The state is soft. Not thread-safe.
 */
public final class ServiceShares {
    /** Streams in flight for each slot, above which a service is short. */
    private static final double SHORT_ABOVE = 1.0;

    /** Streams in flight for each slot, below which a service is no longer short. */
    private static final double SHORT_UNTIL = 0.85;

    /**
     * Time for which shares are kept: 70 hosts send 700 reports a second, each of which changes
     * little.
     */
    private static final long KEPT_NANOS = 20_000_000L;

    /** Part of the speed that a full batch leaves to each of its calls. */
    private static final double SPEED_IN_FULL_BATCH = 0.5;

    private boolean isShort;
    private ShareTotals totals = ShareTotals.NONE;
    private boolean isComputed;
    private long computedAtNanos;

    /**
     * Returns the customers over their share.
     *
     * @param reports what the hosts report; asked for while the service is short only
     */
    public ShareTotals totals(
            ServiceCapacity capacity,
            ServiceLoad load,
            Supplier<? extends Iterable<ReportedWork>> reports,
            long nowNanos) {
        if (isComputed && nowNanos - computedAtNanos < KEPT_NANOS) {
            return totals;
        }
        isComputed = true;
        computedAtNanos = nowNanos;
        updateShortage(capacity.slots(), load.inFlight());
        totals =
                isShort && capacity.customers().isDefined()
                        ? compute(capacity, load, reports.get())
                        : ShareTotals.NONE;
        return totals;
    }

    /** A service without eligible endpoints refuses all calls alike. */
    private void updateShortage(int slots, int inFlight) {
        double limit = slots * (isShort ? SHORT_UNTIL : SHORT_ABOVE);
        isShort = slots > 0 && (isShort ? inFlight >= limit : inFlight > limit);
    }

    /**
     * Returns the part of the streams in flight that belongs to customers, by their work. The
     * others, such as those of public routes, take no part in the shares: a flood of them would
     * make customers at their usual load count as over their share.
     */
    private static double namedPart(double namedWork, ServiceLoad load) {
        return namedWork < load.remainingMillis() ? namedWork / load.remainingMillis() : 1;
    }

    private static ShareTotals compute(
            ServiceCapacity capacity, ServiceLoad load, Iterable<ReportedWork> reports) {
        Map<CustomerName, Double> work = new HashMap<>();
        double smallerWork = 0;
        for (ReportedWork report : reports) {
            smallerWork += report.smallerMillis();
            for (CustomerWork customer : report.customers()) {
                work.merge(customer.customer(), customer.remainingMillis(), Double::sum);
            }
        }
        double namedWork = smallerWork;
        for (double customerWork : work.values()) {
            namedWork += customerWork;
        }
        double servedPart =
                Math.min(1, capacity.slots() / (load.inFlight() * namedPart(namedWork, load)));
        double workPerMilli = capacity.slots() * load.speed() * SPEED_IN_FULL_BATCH;
        return new ShareTotals(
                FairShares.overShare(work, smallerWork, capacity.customers().get(), servedPart),
                load.remainingMillis() / workPerMilli);
    }
}
