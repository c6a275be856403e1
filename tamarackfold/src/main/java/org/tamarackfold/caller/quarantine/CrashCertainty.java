package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Traversable;
import java.time.Duration;

/**
 * Decides whether the endpoints that ended under a request did so because of it. Each end counts by
 * how unlikely it is that an endpoint ends in the time for which the request was there, given how
 * often endpoints of the service end without it: where endpoints crash all the time, an end says
 * little about the requests that it met. A sound request survives some tries, and is cleared then.
 */
final class CrashCertainty {
    /** The longest and the shortest time over which ends without the request are counted. */
    static final Duration LONGEST_BACKGROUND = Duration.ofSeconds(30);

    private static final Duration SHORTEST_BACKGROUND = Duration.ofSeconds(10);

    /** Ends below which nothing is certain; the platform lets a request crash three endpoints. */
    static final int MINIMUM_ENDS = 3;

    /** No end counts for more than one of this probability; a rate of few ends is uncertain. */
    private static final double LEAST_PROBABILITY = 0.01;

    /** The probability of a coincidence below which the request is held to be the cause. */
    private static final double COINCIDENCE = 1e-5;

    private CrashCertainty() {}

    /**
     * Returns whether the ends are certain to have been caused by the request.
     *
     * @param runs the ends under the request
     * @param others when endpoints of the service ended without the request, within {@link
     *     #LONGEST_BACKGROUND}
     * @param endpoints the number of endpoints of the service
     */
    static boolean isCertain(
            Traversable<EndedRun> runs, Traversable<Long> others, int endpoints, long nowNanos) {
        double rate = endsPerMilli(others, endpoints, nowNanos);
        double logarithm = runs.map(run -> Math.log(probability(run, rate))).sum().doubleValue();
        return runs.size() >= MINIMUM_ENDS && logarithm < Math.log(COINCIDENCE);
    }

    /** Returns how often an endpoint ends without the request. */
    private static double endsPerMilli(Traversable<Long> others, int endpoints, long nowNanos) {
        long oldestMillis =
                others.map(atNanos -> (nowNanos - atNanos) / 1_000_000).max().getOrElse(0L);
        long spanMillis = Math.max(SHORTEST_BACKGROUND.toMillis(), oldestMillis);
        return others.size() / ((double) spanMillis * Math.max(1, endpoints));
    }

    private static double probability(EndedRun run, double endsPerMilli) {
        double expected = endsPerMilli * Math.max(1, run.exposureMillis());
        return Math.clamp(1 - Math.exp(-expected), LEAST_PROBABILITY, 1);
    }
}
