package org.tamarackfold.caller;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** The delays after which refused callers are asked to retry; spread by a random part. */
public final class RetryDelays {
    /** Shortest delay. */
    private static final int MINIMUM_MILLIS = 80;

    /** Upper bound of the random addition, so that refused callers do not all retry at once. */
    private static final int MAXIMUM_JITTER_MILLIS = 160;

    /**
     * Longest expected wait for a rate limit that is passed on. A retry may reach another host,
     * which has permits of its own.
     */
    private static final int MAXIMUM_RATE_LIMIT_WAIT_MILLIS = 2_000;

    /** Shortest delay of a customer over its share; totals have changed by then. */
    private static final int MINIMUM_OVER_SHARE_MILLIS = 300;

    /** Longest delay of a customer over its share; the flood may have ended by then. */
    private static final int MAXIMUM_OVER_SHARE_MILLIS = 2_000;

    private final RandomGenerator random;

    /**
     * Creates delays.
     *
     * @param random the source of the random part
     */
    public RetryDelays(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the delay after a refusal whose cause has no known end. */
    public Duration standard() {
        return Duration.ofMillis(MINIMUM_MILLIS + random.nextInt(MAXIMUM_JITTER_MILLIS));
    }

    /**
     * Returns the delay after a refusal because all endpoints are at their rate limit: around the
     * expected wait, half of it random.
     *
     * @param expectedWait the mean time until this host may send a call
     */
    public Duration whenRateLimited(Duration expectedWait) {
        return spread(Math.min(expectedWait.toMillis(), MAXIMUM_RATE_LIMIT_WAIT_MILLIS));
    }

    /**
     * Returns the delay after a refusal because the customer is at its limit: around the time of
     * the next permit, half of it random, so that the refused callers do not come back together.
     */
    public Duration whenOverLimit(Duration nextPermit) {
        return spread(nextPermit.toMillis());
    }

    /**
     * Returns the delay after a refusal because the customer is over its share: up to the time in
     * which the work over the share is done, half of it random.
     */
    public Duration whenOverShare(Duration drainTime) {
        long waitMillis =
                Math.clamp(
                        drainTime.toMillis(),
                        2 * MINIMUM_OVER_SHARE_MILLIS,
                        MAXIMUM_OVER_SHARE_MILLIS);
        return Duration.ofMillis(waitMillis / 2 + random.nextLong(waitMillis / 2 + 1));
    }

    private Duration spread(long waitMillis) {
        return standard().plusMillis(waitMillis / 2 + random.nextLong(waitMillis + 1) / 2);
    }
}
