package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Observation;

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
    private long startedAtNanos;
    private boolean startedOnce;
    private boolean answered;

    CurrentAttempt(
            CallDependencies dependencies,
            CallDescription call,
            EndpointAttempt.Listener listener,
            CallLog callLog) {
        this.dependencies = dependencies;
        this.call = call;
        this.listener = listener;
        this.callLog = callLog;
    }

    /** Sends the call to an endpoint that the endpoint table has selected. */
    void start(
            EndpointRecord endpoint,
            HttpServerExchange exchange,
            byte[] body,
            Duration remainingTime,
            long nowNanos) {
        attempt = new EndpointAttempt(endpoint, call, dependencies, listener);
        startedAtNanos = nowNanos;
        startedOnce = true;
        answered = false;
        attempt.start(dependencies.client(), exchange, body, remainingTime);
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

    /** Reports that the head of a response has arrived. */
    void reportAnswered() {
        answered = true;
        double latencyMillis = (System.nanoTime() - startedAtNanos) / 1e6;
        report(new Observation.Answered(latencyMillis));
        dependencies.metrics().recordAttempt(endpoint().service().value(), "answered");
    }

    /** Reports that the attempt ended without a response, and ends it; returns its endpoint. */
    EndpointRecord endWithoutResponse(AttemptOutcome outcome) {
        report(
                switch (outcome) {
                    case AttemptOutcome.Rejected(AttemptOutcome.Cause _) ->
                            new Observation.Rejected();
                    case AttemptOutcome.Answered(int _) -> new Observation.Inconclusive();
                    case AttemptOutcome.NotSent() -> new Observation.Failed();
                    case AttemptOutcome.Unknown() -> new Observation.Failed();
                });
        dependencies
                .metrics()
                .recordAttempt(endpoint().service().value(), outcome.getClass().getSimpleName());
        return end();
    }

    private void report(Observation observation) {
        dependencies.endpoints().recordObservation(endpoint().id(), observation, System.nanoTime());
    }

    /** Ends the attempt, which no longer uses a slot of its endpoint; returns that endpoint. */
    EndpointRecord end() {
        EndpointRecord endpoint = attempt.endpoint();
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
