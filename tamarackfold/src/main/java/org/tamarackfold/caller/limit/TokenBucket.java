package org.tamarackfold.caller.limit;

/** Tokens that accrue at a rate up to a capacity, both of which may change. Not thread-safe. */
final class TokenBucket {
    private double tokens;
    private long updatedAtNanos;

    TokenBucket(double tokens, long nowNanos) {
        reset(tokens, nowNanos);
    }

    void reset(double value, long nowNanos) {
        tokens = value;
        updatedAtNanos = nowNanos;
    }

    /** Adds the tokens since the last update, and drops those beyond the capacity. */
    void update(double perSecond, double capacity, long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - updatedAtNanos);
        tokens = Math.min(capacity, tokens + perSecond * elapsedNanos / 1e9);
        updatedAtNanos += elapsedNanos;
    }

    /** Drops the tokens beyond a number. */
    void clamp(double maximum) {
        tokens = Math.min(tokens, maximum);
    }

    /** Takes up to the given number of whole tokens; returns how many. */
    int take(int wanted) {
        int taken = (int) Math.min(wanted, Math.max(0, Math.floor(tokens)));
        tokens -= taken;
        return taken;
    }

    double tokens() {
        return tokens;
    }

    long updatedAtNanos() {
        return updatedAtNanos;
    }
}
