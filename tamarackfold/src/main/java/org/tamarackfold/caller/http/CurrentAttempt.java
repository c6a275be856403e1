package org.tamarackfold.caller.http;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Observation;
import org.tamarackfold.endpoint.Selection;
import org.tamarackfold.id.HostId;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.ForwardingHosts;
import org.xnio.XnioIoThread;

/**
 * The attempt of a call that is in progress, if any. Reports to the endpoint table what the attempt
 * shows about its endpoint, and frees the slot when it ends. Used on the I/O thread of the caller's
 * connection; only {@link #isInProgress} may be called from others.
 */
final class CurrentAttempt {
    private final CallDependencies dependencies;
    private final CallDescription call;
    private final EndpointAttempt.Listener listener;
    private final CallLog callLog;
    private volatile EndpointAttempt attempt;
    private final Runnable onPathLost;

    /** Hosts that have not taken the call; they are not asked again. */
    private Set<HostId> hostsTried = HashSet.empty();

    /** Whether a connection for the call could not be opened; others would likely fail, too. */
    private boolean directPathDoubtful;

    private final CallCostObserver costObserver;
    private SilenceWatch silenceWatch;
    private long startedAtNanos;
    private boolean startedOnce;
    private boolean answered;

    CurrentAttempt(
            CallDependencies dependencies,
            CallDescription call,
            EndpointAttempt.Listener listener,
            CallLog callLog,
            CallCostObserver costObserver,
            Runnable onPathLost) {
        this.dependencies = dependencies;
        this.call = call;
        this.listener = listener;
        this.callLog = callLog;
        this.onPathLost = onPathLost;
        this.costObserver = costObserver;
    }

    /**
     * Sends the call to an endpoint that the endpoint table has selected: itself, or through a host
     * that reaches the endpoint. Returns false, without an attempt, when there is no such host.
     */
    boolean start(
            Selection.Selected selected,
            EndpointRequest request,
            Duration remainingTime,
            XnioIoThread thread) {
        Option<EndpointAttempt> next = createAttempt(selected);
        if (next.isEmpty()) {
            dependencies.endpoints().release(selected.endpoint().id());
            return false;
        }
        long nowNanos = System.nanoTime();
        callLog.dispatched(selected, next.get(), remainingTime, nowNanos);
        costObserver.onStart(selected, nowNanos);
        attempt = next.get();
        startedAtNanos = nowNanos;
        startedOnce = true;
        answered = false;
        silenceWatch = SilenceWatch.start(thread, attempt, onPathLost);
        attempt.start(request, remainingTime);
        return true;
    }

    private Option<EndpointAttempt> createAttempt(Selection.Selected selected) {
        ForwardingHosts hosts = dependencies.paths().forwardingHosts();
        EndpointRecord endpoint = selected.endpoint();
        boolean direct = selected.reachable() && !directPathDoubtful;
        Option<EntryHost> host = direct ? Option.none() : hosts.select(endpoint.zone(), hostsTried);
        if (host.isDefined()) {
            dependencies.metrics().recordForwardedAttempt(endpoint.service().value());
            return Option.some(
                    new ForwardedAttempt(endpoint, host.get(), call.id(), dependencies, listener));
        }
        return selected.reachable() || !hosts.hasOthers()
                ? Option.some(new DirectAttempt(endpoint, call.id(), dependencies, listener))
                : Option.none();
    }

    boolean isInProgress() {
        return attempt != null;
    }

    /** Returns whether the call has been sent at least once. */
    boolean startedOnce() {
        return startedOnce;
    }

    /** Returns the endpoint of the attempt in progress. */
    EndpointRecord endpoint() {
        return attempt.endpoint();
    }

    /** Stops or resumes reading the response; has no effect without an attempt. */
    void setReadingPaused(boolean paused) {
        if (attempt != null) {
            attempt.setReadingPaused(paused);
        }
    }

    /** Reads what has arrived in the next task of the I/O thread; has no effect without attempt. */
    void readArrived() {
        if (attempt != null) {
            attempt.readArrived();
        }
    }

    /** Reports that the head of a response has arrived. */
    void reportAnswered() {
        answered = true;
        silenceWatch.stop();
        double latencyMillis = (System.nanoTime() - startedAtNanos) / 1e6;
        report(new Observation.Answered(latencyMillis));
        dependencies.metrics().recordAttempt(endpoint().service().value(), "answered");
    }

    /** Reports that the attempt ended without a response, and ends it; returns its endpoint. */
    EndpointRecord endWithoutResponse(AttemptOutcome outcome) {
        report(observation(outcome));
        switch (attempt) {
            case DirectAttempt _ -> directPathDoubtful |= outcome instanceof AttemptOutcome.NotSent;
            case ForwardedAttempt forwarded -> {
                if (outcome instanceof AttemptOutcome.NotForwarded) {
                    hostsTried = hostsTried.add(forwarded.host().host());
                }
            }
        }
        dependencies
                .metrics()
                .recordAttempt(endpoint().service().value(), outcome.getClass().getSimpleName());
        return end();
    }

    private Observation observation(AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Rejected(AttemptOutcome.Cause _) -> new Observation.Rejected();
            case AttemptOutcome.Answered(int _) -> new Observation.Inconclusive();
            case AttemptOutcome.NotSent() -> new Observation.Failed();
            case AttemptOutcome.NotForwarded() -> new Observation.Inconclusive();
            // The link between the hosts may have failed instead of the endpoint.
            case AttemptOutcome.Unknown() ->
                    attempt instanceof ForwardedAttempt
                            ? new Observation.Inconclusive()
                            : new Observation.Failed();
        };
    }

    private void report(Observation observation) {
        dependencies.endpoints().recordObservation(endpoint().id(), observation, System.nanoTime());
    }

    /** Reports that an event of the response has arrived. */
    void reportEvent() {
        costObserver.onEvent(System.nanoTime());
    }

    /** Ends the attempt with a complete response; returns its endpoint. */
    EndpointRecord endComplete(int status) {
        // The time of a forwarded call includes the way through another host.
        boolean isSample = status < 300 && attempt instanceof DirectAttempt;
        costObserver.onEnd(isSample, System.nanoTime());
        return end();
    }

    /** Ends the attempt, which no longer uses a slot of its endpoint; returns that endpoint. */
    EndpointRecord end() {
        costObserver.onEnd(false, System.nanoTime());
        EndpointRecord endpoint = attempt.endpoint();
        silenceWatch.stop();
        attempt = null;
        dependencies.endpoints().release(endpoint.id());
        return endpoint;
    }

    private void reportUnanswered() {
        long nowNanos = System.nanoTime();
        callLog.attemptUnanswered(
                endpoint(),
                attempt.stage(),
                Duration.ofNanos(nowNanos - startedAtNanos),
                dependencies.endpoints().timeSinceHeard(endpoint().id(), nowNanos),
                dependencies.endpoints().timeSinceHeard(endpoint().service(), nowNanos));
        dependencies.metrics().recordAttempt(endpoint().service().value(), "unanswered");
    }

    /** Closes the connection to the endpoint and ends the attempt; returns its endpoint. */
    EndpointRecord cancel() {
        if (!answered) {
            reportUnanswered();
        }
        attempt.cancel();
        return end();
    }
}
