package org.tamarackfold.operator;

import java.time.Duration;

/**
 * Limits on requests and connections of callers. Only {@code bodyBytes} is enforced for each
 * release; the HTTP listeners set the other limits once for the process, by constants of their own.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headerTimeout the timeout for receiving a request head
 * @param idleTimeout the idle timeout of a connection
 */
public record CallerLimits(
        int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits for every value that a release does not set. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(5), Duration.ofSeconds(15));
}
