package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Traversable;
import java.time.Duration;

/**
 * Decides whether the endpoints that ended under a request did so because of it. Each end counts by
 * how unlikely it is that an endpoint ends in the time for which the request was there, given how
 * often endpoints of the service end without it: where endpoints crash all the time, an end says
 * little about the requests that it met.
 */
final class CrashCertainty {
    /** The time over which ends without the request are counted. */
    static final Duration BACKGROUND = Duration.ofSeconds(30);

    /** Ends below which nothing is certain; the platform lets a request crash three endpoints. */
    static final int MINIMUM_ENDS = 3;

    /** No end counts for more than one of this probability; a rate of few ends is a guess. */
    private static final double LEAST_PROBABILITY = 0.01;

    /** The probability of a coincidence at which the request is held to be the cause. */
    private static final double REQUIRED = -MINIMUM_ENDS * Math.log(LEAST_PROBABILITY) - 1e-9;

    private CrashCertainty() {}

    /**
     * Returns whether the ends are certain to have been caused by the request.
     *
     * @param endsWithout the endpoints of the service that ended without the request in the last
     *     {@link #BACKGROUND}
     * @param endpoints the number of endpoints of the service
     */
    static boolean isCertain(Traversable<EndedRun> runs, int endsWithout, int endpoints) {
        double endsPerMilli =
                endsWithout / ((double) BACKGROUND.toMillis() * Math.max(1, endpoints));
        double sum = runs.map(run -> weight(run, endsPerMilli)).sum().doubleValue();
        return runs.size() >= MINIMUM_ENDS && sum >= REQUIRED;
    }

    private static double weight(EndedRun run, double endsPerMilli) {
        double expected = endsPerMilli * Math.max(1, run.exposureMillis());
        double probability = 1 - Math.exp(-expected);
        return -Math.log(Math.clamp(probability, LEAST_PROBABILITY, 1));
    }
}
