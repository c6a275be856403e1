package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.vavr.Lazy;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.caller.quarantine.RequestFingerprints;
import org.tamarackfold.caller.quarantine.TrialDecision;
import org.tamarackfold.caller.quarantine.TrialKey;
import org.tamarackfold.caller.quarantine.Verdict;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.transport.RequestInput;

/**
 * Holds one call up, or refuses it, while its request is suspected of crashing endpoints. Used on
 * the I/O thread of the caller's connection.
 */
final class CallQuarantine implements CrashWatch {
    /** Longest time for which a call waits for a trial; its caller can come back instead. */
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(800);

    /** Time in which a forwarding host finds out why a connection broke, and tells others. */
    private static final Duration FORWARDER_TRACE_TIME = Duration.ofMillis(150);

    /** Time after the deadline of a call by which its trial counts as ended. */
    private static final Duration LEASE_MARGIN = Duration.ofSeconds(1);

    private final Quarantine quarantine;
    private final EndpointTable endpoints;
    private final HttpServerExchange exchange;
    private final CallDescription call;
    private final CallDeadline deadline;
    private final CallLog callLog;
    private final Consumer<LocalResponse> refusal;
    private Lazy<RequestFingerprint> fingerprint;
    private ServiceName service;
    private Set<SoftwareVersion> quarantinedAt = HashSet.empty();
    private Option<Quarantine.Trial> trial = Option.none();
    private CompletableFuture<Void> breakRecorded;
    private boolean forwardingLost;
    private long waitingSinceNanos;
    private boolean ended;

    /**
     * Creates the quarantine of a call.
     *
     * @param refusal ends the call with a response, if it has not run
     */
    CallQuarantine(
            CallDependencies dependencies,
            HttpServerExchange exchange,
            CallDescription call,
            CallDeadline deadline,
            CallLog callLog,
            Consumer<LocalResponse> refusal) {
        this.quarantine = dependencies.quarantine();
        this.endpoints = dependencies.endpoints();
        this.exchange = exchange;
        this.call = call;
        this.deadline = deadline;
        this.callLog = callLog;
        this.refusal = refusal;
    }

    /**
     * Lets the call proceed when it may be sent, at once unless it is suspected.
     *
     * @param body the body that the caller sent
     */
    void admit(byte[] body, ServiceName selectedService, Runnable proceed) {
        service = selectedService;
        fingerprint = Lazy.of(() -> RequestFingerprints.of(call, pathAndQuery(), body));
        waitingSinceNanos = System.nanoTime();
        check(proceed);
    }

    private String pathAndQuery() {
        return RequestInput.of(exchange).target().pathAndQuery();
    }

    /** Lets the call proceed to another endpoint once it is known why the last attempt broke. */
    void beforeRetry(Runnable proceed) {
        if (breakRecorded == null) {
            proceed.run();
            return;
        }
        CompletableFuture<Void> recorded = breakRecorded;
        breakRecorded = null;
        waitingSinceNanos = System.nanoTime();
        recorded.thenRunAsync(() -> retry(proceed), exchange.getIoThread());
    }

    private void retry(Runnable proceed) {
        if (ended) {
            return;
        }
        endTrial();
        if (forwardingLost) {
            // The forwarding host may have told only the host that grants the trials.
            forwardingLost = false;
            requestTrial(proceed);
            return;
        }
        check(proceed);
    }

    private void check(Runnable proceed) {
        if (ended) {
            return;
        }
        if (quarantine.isEmpty()) {
            proceed.run();
            return;
        }
        switch (quarantine.verdict(key())) {
            case Verdict.Clear() -> proceed.run();
            case Verdict.Quarantined(Duration remaining) -> reject(remaining);
            case Verdict.Suspected(int _, Duration _, Set<SoftwareVersion> versions) -> {
                quarantinedAt = versions;
                requestTrial(proceed);
            }
        }
    }

    private TrialKey key() {
        return new TrialKey(fingerprint.get(), service);
    }

    private void requestTrial(Runnable proceed) {
        quarantine
                .requestTrial(key(), deadline.remainingTime().plus(LEASE_MARGIN))
                .thenAcceptAsync(answer -> onTrialAnswer(answer, proceed), exchange.getIoThread());
    }

    private void onTrialAnswer(Quarantine.TrialAnswer answer, Runnable proceed) {
        switch (answer.decision()) {
            case TrialDecision.Granted() -> {
                trial = Option.some(answer.trial());
                if (ended) {
                    endTrial();
                    return;
                }
                callLog.suspected("tried", fingerprint.get());
                proceed.run();
            }
            case TrialDecision.Later(Duration delay) -> wait(delay, proceed);
            case TrialDecision.Denied(Duration remaining) -> reject(remaining);
        }
    }

    private void wait(Duration delay, Runnable proceed) {
        long waitedNanos = System.nanoTime() - waitingSinceNanos;
        if (MAXIMUM_WAIT.minus(delay).toNanos() - waitedNanos < 0) {
            callLog.suspected("refused", fingerprint.get());
            refusal.accept(new LocalResponse.Refused(delay, "another copy is being tried"));
            return;
        }
        exchange.getIoThread()
                .executeAfter(
                        () -> check(proceed), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    private void reject(Duration remaining) {
        callLog.suspected("rejected", fingerprint.get());
        refusal.accept(new LocalResponse.Quarantined(remaining, fingerprint.get()));
    }

    /** Excludes the endpoints whose software version must not run the request. */
    SelectionRequest restrict(SelectionRequest request) {
        return quarantinedAt.isEmpty()
                ? request
                : endpoints
                        .available(System.nanoTime())
                        .map(observed -> observed.record())
                        .filter(endpoint -> quarantinedAt.contains(endpoint.version()))
                        .map(EndpointRecord::id)
                        .foldLeft(request, SelectionRequest::excluding);
    }

    /** Records that an endpoint has answered the call whole. */
    void onAnswered(EndpointRecord endpoint) {
        quarantine.recordAnswer(fingerprint.get(), endpoint);
    }

    @Override
    public Option<RequestFingerprint> fingerprint() {
        return Option.some(fingerprint.get());
    }

    @Override
    public void onBroken(CompletableFuture<Void> recorded) {
        breakRecorded = recorded;
    }

    @Override
    public void onForwardingLost() {
        CompletableFuture<Void> traced = new CompletableFuture<>();
        exchange.getIoThread()
                .executeAfter(
                        () -> traced.complete(null),
                        FORWARDER_TRACE_TIME.toMillis(),
                        TimeUnit.MILLISECONDS);
        forwardingLost = true;
        breakRecorded = traced;
    }

    /** Called when the call has ended. */
    void end() {
        ended = true;
        if (breakRecorded == null) {
            endTrial();
        } else {
            // Otherwise the next copy could be sent before this one counts as evidence.
            breakRecorded.thenRunAsync(this::endTrial, exchange.getIoThread());
        }
    }

    private void endTrial() {
        trial.forEach(quarantine::endTrial);
        trial = Option.none();
    }
}
