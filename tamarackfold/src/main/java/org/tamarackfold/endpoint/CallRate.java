package org.tamarackfold.endpoint;

/** The calls a second of the last few seconds, as an exponentially decaying average. */
final class CallRate {
    /** Age at which a call counts half; a crowd of callers comes and goes within seconds. */
    private static final double HALF_LIFE_SECONDS = 2;

    private double decayedCount;
    private long countedAtNanos;

    /** Counts a call. */
    void count(long nowNanos) {
        decayedCount = decayed(nowNanos) + 1;
        countedAtNanos = nowNanos;
    }

    /** Returns the calls a second. */
    double perSecond(long nowNanos) {
        return decayed(nowNanos) * Math.log(2) / HALF_LIFE_SECONDS;
    }

    private double decayed(long nowNanos) {
        double ageSeconds = (nowNanos - countedAtNanos) / 1e9;
        return decayedCount * Math.pow(0.5, ageSeconds / HALF_LIFE_SECONDS);
    }
}
