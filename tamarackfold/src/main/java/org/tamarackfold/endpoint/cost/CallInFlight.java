package org.tamarackfold.endpoint.cost;

import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/** An attempt of a call that runs at an endpoint; guarded by the lock of its placement. */
public final class CallInFlight {
    private final ServiceName service;
    private final EndpointId endpoint;
    private final CallProfile call;
    private final Kept kept;
    private final CostEstimate estimate;
    private final long startedAtNanos;
    private final int othersAtStart;
    private long firstEventAtNanos;
    private boolean hasFirstEvent;

    CallInFlight(
            ServiceName service,
            EndpointId endpoint,
            CallProfile call,
            Kept kept,
            CostEstimate estimate,
            long startedAtNanos,
            int othersAtStart) {
        this.service = service;
        this.endpoint = endpoint;
        this.call = call;
        this.kept = kept;
        this.estimate = estimate;
        this.startedAtNanos = startedAtNanos;
        this.othersAtStart = othersAtStart;
    }

    ServiceName service() {
        return service;
    }

    EndpointId endpoint() {
        return endpoint;
    }

    CallProfile call() {
        return call;
    }

    /** Returns what the endpoint was expected to have kept of the call. */
    public Kept kept() {
        return kept;
    }

    /** Returns the expected time of the call at an idle endpoint of speed 1, in milliseconds. */
    public double expectedMillis() {
        return estimate.total();
    }

    CostEstimate estimate() {
        return estimate;
    }

    /** Returns the calls of all hosts that ran at the endpoint when this one started. */
    int othersAtStart() {
        return othersAtStart;
    }

    void setFirstEvent(long nowNanos) {
        hasFirstEvent = true;
        firstEventAtNanos = nowNanos;
    }

    boolean hasFirstEvent() {
        return hasFirstEvent;
    }

    double millisToFirstEvent() {
        return (firstEventAtNanos - startedAtNanos) / 1e6;
    }

    double elapsedMillis(long nowNanos) {
        return (nowNanos - startedAtNanos) / 1e6;
    }

    /**
     * Returns the expected remaining work. A call that takes longer than expected is expected to go
     * on for another deviation.
     *
     * @param rate the work that the endpoint does for this call in a millisecond
     */
    double remainingMillis(double rate, long nowNanos) {
        double done =
                hasFirstEvent
                        ? estimate.untilFirstEvent() + (nowNanos - firstEventAtNanos) / 1e6 * rate
                        : Math.min(estimate.untilFirstEvent(), elapsedMillis(nowNanos) * rate);
        return Math.max(estimate.total() - done, Math.min(estimate.deviation(), estimate.total()));
    }
}
