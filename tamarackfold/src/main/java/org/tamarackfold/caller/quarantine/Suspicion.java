package org.tamarackfold.caller.quarantine;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.tamarackfold.endpoint.Incarnation;

/**
 * What is known against one request at one software. Immutable; times are monotonic, in ns.
 *
 * @param runs the endpoints that ended under the request, each start of one once, oldest first
 * @param quarantinedAtNanos when the request was found to crash endpoints, the last time
 * @param clearedAtNanos when a whole response to it was seen, the last time; what is older than
 *     this is void
 * @param changedAtNanos when this host learned the latest of this
 */
record Suspicion(
        SuspicionKey key,
        Map<Incarnation, EndedRun> runs,
        Option<Long> quarantinedAtNanos,
        Option<Long> clearedAtNanos,
        long changedAtNanos) {
    /** Ends that are kept; beyond the number that any decision needs. */
    private static final int MAXIMUM_RUNS = 12;

    /** By how much hosts may differ about the time of an event that they tell each other. */
    private static final long TOLERANCE_NANOS = 500_000_000L;

    static Suspicion none(SuspicionKey key) {
        return new Suspicion(key, LinkedHashMap.empty(), Option.none(), Option.none(), 0);
    }

    /** Adds an end; returns this if it is known, or older than a whole response. */
    Suspicion withRun(EndedRun run, long nowNanos) {
        boolean isVoid =
                clearedAtNanos.exists(at -> run.endedAtNanos() - at - TOLERANCE_NANOS <= 0);
        if (isVoid) {
            return this;
        }
        Option<EndedRun> known = runs.get(run.endpoint());
        if (known.isDefined()) {
            return run.exposureMillis() < known.get().exposureMillis()
                    ? withRuns(runs.put(run.endpoint(), shorter(known.get(), run)), changedAtNanos)
                    : this;
        }
        Map<Incarnation, EndedRun> added = runs.put(run.endpoint(), run);
        return withRuns(added.size() > MAXIMUM_RUNS ? added.drop(1) : added, nowNanos);
    }

    private static EndedRun shorter(EndedRun known, EndedRun run) {
        return new EndedRun(known.endpoint(), run.exposureMillis(), known.endedAtNanos());
    }

    private Suspicion withRuns(Map<Incarnation, EndedRun> value, long changed) {
        return new Suspicion(key, value, quarantinedAtNanos, clearedAtNanos, changed);
    }

    /** Voids all that is older than a whole response; returns this if that response is known. */
    Suspicion clearedAt(long atNanos, long nowNanos) {
        if (clearedAtNanos.exists(known -> atNanos - known - TOLERANCE_NANOS <= 0)) {
            return this;
        }
        return new Suspicion(
                key,
                runs.filterValues(run -> run.endedAtNanos() - atNanos > 0),
                quarantinedAtNanos.filter(at -> at - atNanos > 0),
                Option.some(atNanos),
                nowNanos);
    }

    /** Notes that the request crashes endpoints; returns this if that is known or void. */
    Suspicion quarantinedAt(long atNanos, long nowNanos) {
        boolean isVoid = clearedAtNanos.exists(at -> atNanos - at - TOLERANCE_NANOS <= 0);
        boolean isKnown = quarantinedAtNanos.exists(at -> atNanos - at - TOLERANCE_NANOS <= 0);
        return isVoid || isKnown
                ? this
                : new Suspicion(key, runs, Option.some(atNanos), clearedAtNanos, nowNanos);
    }

    /** Returns the ends that are not explained by another request. */
    Map<Incarnation, EndedRun> runsWithout(Set<Incarnation> explained) {
        return runs.filterKeys(endpoint -> !explained.contains(endpoint));
    }

    /** Returns when the last endpoint ended under the request; none without an end. */
    Option<Long> lastEndNanos() {
        return runs.values().map(EndedRun::endedAtNanos).reduceOption((a, b) -> a - b > 0 ? a : b);
    }

    boolean isQuarantined(long nowNanos) {
        return quarantinedAtNanos.exists(
                at -> nowNanos - at < QuarantineTimes.QUARANTINE.toNanos());
    }

    /** Returns whether nothing follows from this any more. */
    boolean isExpired(long nowNanos) {
        long lifetimeNanos =
                runs.isEmpty()
                        ? QuarantineTimes.CLEARANCE.toNanos()
                        : quarantinedAtNanos.isDefined()
                                ? QuarantineTimes.MEMORY.toNanos()
                                : QuarantineTimes.SUSPICION.toNanos();
        return nowNanos - changedAtNanos >= lifetimeNanos;
    }

    /** Returns the order in which suspicions are kept when there are too many. */
    int weight() {
        return quarantinedAtNanos.isDefined() ? Integer.MAX_VALUE : runs.size();
    }
}
