package org.tamarackfold.endpoint;

/** Mutable state of one endpoint, guarded by the lock of its table. */
final class EndpointState {
    /** Weight of the newest sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private EndpointRecord record;
    private int inFlight;
    private double latencyMillis;
    private long latencyAt;
    private int consecutiveFailures;
    private long avoidedUntilNanos;
    private boolean avoided;

    EndpointState(EndpointRecord record) {
        this.record = record;
    }

    EndpointRecord record() {
        return record;
    }

    void update(EndpointRecord next) {
        if (next.startedAtMillis() != record.startedAtMillis()) {
            consecutiveFailures = 0;
            avoided = false;
            latencyMillis = 0;
        }
        record = next;
    }

    int inFlight() {
        return inFlight;
    }

    void begin() {
        inFlight++;
    }

    void end() {
        inFlight = Math.max(0, inFlight - 1);
    }

    void succeeded(double millis, long now) {
        latencyAt = now;
        consecutiveFailures = 0;
        avoided = false;
        latencyMillis =
                latencyMillis == 0
                        ? millis
                        : latencyMillis + SAMPLE_WEIGHT * (millis - latencyMillis);
    }

    /** Returns the moving average of the latency, in milliseconds; 0 without samples. */
    double latencyMillis() {
        return latencyMillis;
    }

    /** Returns the time since the last sample of the latency, in ns. */
    long latencyAgeNanos(long now) {
        return now - latencyAt;
    }

    int failed() {
        return ++consecutiveFailures;
    }

    void avoidUntil(long nanos) {
        avoided = true;
        avoidedUntilNanos = nanos;
    }

    boolean isAvoided(long now) {
        return avoided && avoidedUntilNanos - now > 0;
    }
}
