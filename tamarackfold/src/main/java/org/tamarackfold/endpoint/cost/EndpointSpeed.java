package org.tamarackfold.endpoint.cost;

/**
 * Speed of an endpoint relative to the median of its service: a slow mean, which follows the kind
 * of the endpoint, and a fast one, which follows disturbances by other work on its machine. The
 * means are of the times, the inverse of the speed: calls of very different lengths would show a
 * mean speed far above the rate at which they end. Not thread-safe.
 */
final class EndpointSpeed {
    private static final double MINIMUM = 0.1;
    private static final double MAXIMUM = 4;
    private static final double SLOW_HALF_LIFE_NANOS = 5e9;

    /** Disturbances last about 0.6 s. */
    private static final double FAST_HALF_LIFE_NANOS = 0.5e9;

    /** Half-life of the slow mean without samples, so that a slow endpoint is tried again. */
    private static final double FORGETTING_HALF_LIFE_NANOS = 30e9;

    /** Weight of what was known before, in samples: one sample of a call is inexact. */
    private static final double PRIOR_SAMPLES = 2;

    /**
     * Ratio of the means from which the fast one counts. Endpoints of equal speed show fast means
     * of 0.8 to 1.2, because the lengths of calls are known by powers of two only; a disturbance by
     * a factor of 2.5 reaches the ratio within half a second.
     */
    private static final double DISTURBANCE_RATIO = 1.25;

    private double slowTime = 1;
    private double slowSamples;
    private double fastTimeSum;
    private double fastSamples;
    private long sampledAtNanos;
    private boolean hasSamples;

    /** Records one sample, the expected over the observed time. */
    void add(double sample, long nowNanos) {
        add(sample, 1, nowNanos);
    }

    /** Records the mean of several samples. */
    void add(double sample, int count, long nowNanos) {
        double time = 1 / Math.clamp(sample, MINIMUM, MAXIMUM);
        long ageNanos = nowNanos - sampledAtNanos;
        double slowNow = 1 / slow(nowNanos);
        slowSamples = count + slowSamples * decay(ageNanos, SLOW_HALF_LIFE_NANOS);
        slowTime = slowNow + (time - slowNow) * count / (slowSamples + PRIOR_SAMPLES);
        double fastDecay = decay(ageNanos, FAST_HALF_LIFE_NANOS);
        fastTimeSum = count * time + fastTimeSum * fastDecay;
        fastSamples = count + fastSamples * fastDecay;
        sampledAtNanos = nowNanos;
        hasSamples = true;
    }

    /** Returns whether there was any sample. */
    boolean hasSamples() {
        return hasSamples;
    }

    /**
     * Returns the speed to expect now: the slow mean, which is exact, or the fast one when it
     * differs by more than single samples do.
     */
    double current(long nowNanos) {
        double slowNow = slow(nowNanos);
        double fastNow = fast(nowNanos);
        boolean disturbed =
                fastNow < slowNow / DISTURBANCE_RATIO || fastNow > slowNow * DISTURBANCE_RATIO;
        return disturbed ? fastNow : slowNow;
    }

    /** Returns the mean over some seconds. */
    double slow(long nowNanos) {
        double forgotten = decay(nowNanos - sampledAtNanos, FORGETTING_HALF_LIFE_NANOS);
        return 1 + (1 / slowTime - 1) * forgotten;
    }

    /** Returns the mean over the last half second; the slow one if there were no samples. */
    double fast(long nowNanos) {
        double atLastSample =
                (fastSamples + PRIOR_SAMPLES) / (fastTimeSum + slowTime * PRIOR_SAMPLES);
        double sinceThen = decay(nowNanos - sampledAtNanos, FAST_HALF_LIFE_NANOS);
        return slow(nowNanos) + (atLastSample - 1 / slowTime) * sinceThen;
    }

    private static double decay(long ageNanos, double halfLifeNanos) {
        return Math.pow(0.5, Math.max(0, ageNanos) / halfLifeNanos);
    }
}
