package org.tamarackfold.endpoint;

import io.vavr.control.Option;

/** Mutable state of one endpoint, guarded by the lock of its table. */
final class EndpointState {
    /** Weight of the newest sample in the exponentially weighted moving average. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private final RateLimitPermits permits;
    private EndpointRecord record;
    private int inFlight;
    private double latencyMillis;
    private long latencySampledAtNanos;
    private int consecutiveFailures;
    private long backoffEndNanos;
    private boolean backoffActive;
    private Option<Long> heardAtNanos = Option.none();
    private Option<Long> connectedAtNanos = Option.none();
    private boolean reachable = true;
    private Option<StatedRateLimit> rateLimit = Option.none();

    EndpointState(EndpointRecord record) {
        this.record = record;
        this.permits = new RateLimitPermits(record.id());
    }

    EndpointRecord record() {
        return record;
    }

    /** Replaces the registration. After a restart, all that was observed before is reset. */
    void update(EndpointRecord next) {
        if (next.startedAtMillis() != record.startedAtMillis()) {
            consecutiveFailures = 0;
            backoffActive = false;
            latencyMillis = 0;
            rateLimit = Option.none();
        }
        record = next;
    }

    /** Returns the rate limit that the endpoint stated last; none when it states none. */
    Option<StatedRateLimit> rateLimit() {
        return rateLimit;
    }

    boolean isLimited() {
        return rateLimit.isDefined();
    }

    /** Returns the calls a second that all hosts together may send; 0 without a limit. */
    double limitPerSecond() {
        return rateLimit
                .map(stated -> RateLimitPermits.callsPerSecond(stated.limit()))
                .getOrElse(0.0);
    }

    /** Replaces the rate limit by what the newest response states. */
    void stateRateLimit(Option<RateLimit> limit, long nowNanos) {
        rateLimit = limit.map(stated -> new StatedRateLimit(stated, nowNanos));
    }

    /** Returns whether the rate limit lets this host send a call now. */
    boolean mayReceiveCall(HostShares shares, long nowMillis) {
        return rateLimit.forAll(stated -> permits.isAvailable(stated.limit(), shares, nowMillis));
    }

    /** Counts a call that this host sends; {@link #mayReceiveCall} must have returned true. */
    void countSentCall() {
        inFlight++;
        if (rateLimit.isDefined()) {
            permits.use();
        }
    }

    int inFlight() {
        return inFlight;
    }

    void decrementInFlight() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /** Records the response to a call, of any status, and ends the back-off. */
    void recordResponse(double newLatencyMillis, long nowNanos) {
        latencySampledAtNanos = nowNanos;
        consecutiveFailures = 0;
        backoffActive = false;
        latencyMillis =
                latencyMillis == 0
                        ? newLatencyMillis
                        : latencyMillis + SAMPLE_WEIGHT * (newLatencyMillis - latencyMillis);
    }

    /** Returns the moving average of the latency, in milliseconds; 0 without samples. */
    double latencyMillis() {
        return latencyMillis;
    }

    /** Returns the time since the last sample of the latency, in ns. */
    long latencyAgeNanos(long nowNanos) {
        return nowNanos - latencySampledAtNanos;
    }

    /** Records that bytes of the endpoint have arrived at this host. */
    void recordHeard(long nowNanos) {
        heardAtNanos = Option.some(nowNanos);
    }

    /** Returns when bytes of the endpoint arrived last, in ns; none if none ever did. */
    Option<Long> heardAtNanos() {
        return heardAtNanos;
    }

    /** Returns whether this host can open connections to the endpoint, as far as it knows. */
    boolean isReachable() {
        return reachable;
    }

    void setReachable(boolean value) {
        reachable = value;
    }

    /** Records that a test connection to the endpoint was opened. */
    void recordConnected(long nowNanos) {
        connectedAtNanos = Option.some(nowNanos);
    }

    ObservedEndpoint observed() {
        return new ObservedEndpoint(record, reachable, heardAtNanos, connectedAtNanos);
    }

    /** Returns the number of consecutive failures, including this one. */
    int recordFailure() {
        return ++consecutiveFailures;
    }

    void backOffUntil(long nanos) {
        backoffActive = true;
        backoffEndNanos = nanos;
    }

    boolean isInBackoff(long nowNanos) {
        return backoffActive && backoffEndNanos - nowNanos > 0;
    }
}
