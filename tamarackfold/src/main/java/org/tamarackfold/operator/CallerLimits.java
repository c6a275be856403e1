package org.tamarackfold.operator;

import java.time.Duration;

/**
 * Bounds of what callers may send and how long they may take.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headerTimeout the longest time to send a head
 * @param idleTimeout how long an idle connection is kept open
 */
public record CallerLimits(
        int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Bounds in force before the first release. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(5), Duration.ofSeconds(15));
}
