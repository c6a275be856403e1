package org.tamarackfold.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * A rate limit as the newest response of its endpoint stated it.
 *
 * @param limit the limit
 * @param statedAtNanos when that response arrived, as of {@link System#nanoTime()}
 */
public record StatedRateLimit(RateLimit limit, long statedAtNanos) {
    /** Returns the time since that response, in milliseconds. */
    public long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - statedAtNanos);
    }
}
