package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.endpoint.Incarnation;

/**
 * What a host tells others about a request. Times are ages, because hosts have no common clock.
 *
 * @param runs the endpoints that ended under the request
 * @param quarantinedAge the time since it was found to crash endpoints
 * @param clearedAge the time since a whole response to it was seen
 */
public record SuspicionReport(
        SuspicionKey key,
        Vector<Run> runs,
        Option<Duration> quarantinedAge,
        Option<Duration> clearedAge) {
    /**
     * An endpoint that ended under a request.
     *
     * @param exposureMillis how long the request had been there, in milliseconds
     * @param age the time since the end
     */
    public record Run(Incarnation endpoint, long exposureMillis, Duration age) {}

    static SuspicionReport of(Suspicion suspicion, long nowNanos) {
        return new SuspicionReport(
                suspicion.key(),
                suspicion
                        .runs()
                        .values()
                        .map(
                                run ->
                                        new Run(
                                                run.endpoint(),
                                                run.exposureMillis(),
                                                age(run.endedAtNanos(), nowNanos)))
                        .toVector(),
                suspicion.quarantinedAtNanos().map(at -> age(at, nowNanos)),
                suspicion.clearedAtNanos().map(at -> age(at, nowNanos)));
    }

    /** Returns this report after a time, in which all of its ages have grown. */
    public SuspicionReport after(Duration time) {
        return new SuspicionReport(
                key,
                runs.map(
                        run -> new Run(run.endpoint(), run.exposureMillis(), run.age().plus(time))),
                quarantinedAge.map(age -> age.plus(time)),
                clearedAge.map(age -> age.plus(time)));
    }

    private static Duration age(long atNanos, long nowNanos) {
        return Duration.ofNanos(Math.max(0, nowNanos - atNanos));
    }

    /**
     * Adds what this report says to what is known; returns the same instance if that is nothing.
     */
    Suspicion addTo(Suspicion known, long nowNanos) {
        Suspicion result = known;
        for (Duration cleared : clearedAge) {
            result = result.clearedAt(nowNanos - cleared.toNanos(), nowNanos);
        }
        for (Run run : runs) {
            long endedAtNanos = nowNanos - run.age().toNanos();
            result =
                    result.withRun(
                            new EndedRun(run.endpoint(), run.exposureMillis(), endedAtNanos),
                            nowNanos);
        }
        for (Duration quarantined : quarantinedAge) {
            result = result.quarantinedAt(nowNanos - quarantined.toNanos(), nowNanos);
        }
        return result;
    }
}
