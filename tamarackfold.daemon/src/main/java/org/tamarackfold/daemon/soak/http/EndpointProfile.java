package org.tamarackfold.daemon.soak.http;

/**
 * What distinguishes endpoints of a service.
 *
 * @param slowness how many times as long as usual a run takes
 * @param pauses whether the endpoint is slowed further by {@value #PAUSED_FACTOR} for 0.6 s of 4 s
 * @param slots calls that run at the same time; more are rejected
 */
public record EndpointProfile(String softwareVersion, int slots, double slowness, boolean pauses) {
    private static final double PAUSED_FACTOR = 2.5;
    private static final long PERIOD_NANOS = 4_000_000_000L;
    private static final long PAUSED_NANOS = 600_000_000L;

    /**
     * Returns how long a step takes at a time.
     *
     * @param usualMillis its duration at an endpoint of usual speed, in milliseconds
     * @param phaseNanos shifts the periods of an endpoint against those of others
     */
    long durationMillis(long usualMillis, long nowNanos, long phaseNanos) {
        boolean paused =
                pauses && Math.floorMod(nowNanos + phaseNanos, PERIOD_NANOS) < PAUSED_NANOS;
        return Math.round(usualMillis * slowness * (paused ? PAUSED_FACTOR : 1));
    }
}
