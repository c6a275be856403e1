package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Selection;
import org.tamarackfold.endpoint.cost.CallInFlight;
import org.tamarackfold.endpoint.cost.CallProfile;
import org.tamarackfold.endpoint.cost.EndpointInstance;
import org.tamarackfold.endpoint.cost.LearnedPlacement;
import org.tamarackfold.endpoint.cost.PlacementPolicy;
import org.tamarackfold.id.CallId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;

/**
 * Tells the learned placement about the start, the first event and the end of each attempt of a
 * call; does nothing under the other policy. Used on the I/O thread of the caller's connection.
 */
final class CallCostObserver {
    private static final StructuredLog LOG = StructuredLog.of("placement");

    private final PlacementPolicy policy;
    private final HostMetrics metrics;
    private final CallId call;
    private final Option<CallProfile> profile;
    private Option<CallInFlight> inFlight = Option.none();
    private boolean eventSeen;

    CallCostObserver(
            PlacementPolicy policy, HostMetrics metrics, CallId call, Option<CallProfile> profile) {
        this.policy = policy;
        this.metrics = metrics;
        this.call = call;
        this.profile = profile;
    }

    /** Records that an attempt is sent to an endpoint. */
    void onStart(Selection.Selected selected, long nowNanos) {
        if (!(policy instanceof LearnedPlacement learned) || profile.isEmpty()) {
            return;
        }
        EndpointRecord endpoint = selected.endpoint();
        EndpointInstance instance =
                new EndpointInstance(
                        endpoint.id(),
                        endpoint.service(),
                        endpoint.slots(),
                        endpoint.startedAtMillis());
        CallInFlight started = learned.start(instance, profile.get(), selected.kept(), nowNanos);
        inFlight = Option.some(started);
        eventSeen = false;
        metrics.recordPlacement(started.kept().name());
        LOG.event("placed")
                .with("call", call)
                .with("endpoint", endpoint.id())
                .with("kept", started.kept())
                .with("expected_ms", Math.round(started.expectedMillis()))
                .info();
    }

    /** Records that an event of the response has arrived; only the first one counts. */
    void onEvent(long nowNanos) {
        if (policy instanceof LearnedPlacement learned && !eventSeen) {
            eventSeen = true;
            inFlight.forEach(started -> learned.recordFirstEvent(started, nowNanos));
        }
    }

    /**
     * Records the end of the attempt; has no effect when called again.
     *
     * @param complete whether the endpoint itself sent a complete, successful response to this host
     */
    void onEnd(boolean complete, long nowNanos) {
        if (policy instanceof LearnedPlacement learned) {
            for (CallInFlight ended : inFlight) {
                if (complete) {
                    learned.recordCompleted(ended, nowNanos);
                } else {
                    learned.recordAbandoned(ended);
                }
            }
        }
        inFlight = Option.none();
    }
}
