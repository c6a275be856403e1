package org.tamarackfold.caller.limit;

/** A count whose entries lose half of their weight in each half-life. Not thread-safe. */
final class DecayingCount {
    private final double halfLifeSeconds;
    private double value;
    private long updatedAtNanos;

    DecayingCount(double halfLifeSeconds) {
        this.halfLifeSeconds = halfLifeSeconds;
    }

    void add(double amount, long nowNanos) {
        value = value(nowNanos) + amount;
        updatedAtNanos = nowNanos;
    }

    double value(long nowNanos) {
        double ageSeconds = Math.max(0, nowNanos - updatedAtNanos) / 1e9;
        return value * Math.pow(0.5, ageSeconds / halfLifeSeconds);
    }

    /** Returns the entries a second. */
    double perSecond(long nowNanos) {
        return value(nowNanos) * Math.log(2) / halfLifeSeconds;
    }
}
