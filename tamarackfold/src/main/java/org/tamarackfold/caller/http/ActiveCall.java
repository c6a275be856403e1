package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.caller.RetryDecision;
import org.tamarackfold.caller.RetryDelays;
import org.tamarackfold.caller.RetryPolicy;
import org.tamarackfold.caller.limit.PermitDecision;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Selection;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.peer.StreamOrigin;
import org.xnio.IoUtils;

/**
 * One call, from its arrival to the end of its response. Runs on the I/O thread of the caller's
 * connection.
 */
final class ActiveCall implements EndpointAttempt.Listener {
    private static final String STOP_REASON = "the host is stopping";

    private final CallDependencies dependencies;
    private final ActiveCalls activeCalls;
    private final HttpServerExchange exchange;
    private final CallDescription call;
    private final Release release;
    private final Route route;
    private final long arrivedAtNanos;
    private final CallDeadline deadline;
    private final RetryPolicy retryPolicy;
    private final TurnState turnState;
    private final RetryDelays retryDelays;
    private final CallLog callLog;
    private final DeadlineRead deadlineRead;
    private final StreamVersions streamVersions;
    private final CurrentAttempt attempt;
    private final CallPermit permit;
    private final CallPlacement placement;
    private final ResponseRelays relays;
    private final CallQuarantine quarantine;
    private final CallBody callBody;

    private byte[] body;
    private DisconnectDetector disconnectDetector;
    private SelectionRequest selectionRequest;
    private ResponseRelay relay;
    private boolean isPreparing;
    private boolean isStoring;
    private boolean finished;

    ActiveCall(
            CallDependencies dependencies,
            ActiveCalls activeCalls,
            HttpServerExchange exchange,
            CallDescription call,
            Release release,
            Route route,
            long arrivedAtNanos) {
        this.dependencies = dependencies;
        this.activeCalls = activeCalls;
        this.exchange = exchange;
        this.call = call;
        this.release = release;
        this.route = route;
        this.arrivedAtNanos = arrivedAtNanos;
        this.deadline = new CallDeadline(call, route, arrivedAtNanos);
        this.retryPolicy = new RetryPolicy(route);
        this.placement = new CallPlacement(dependencies, call, release, route, arrivedAtNanos);
        this.turnState =
                new TurnState(dependencies.history(), call, route, release.customers().isDefined());
        this.relays =
                new ResponseRelays(
                        exchange, route, turnState, placement, dependencies.responseMemory());
        this.retryDelays = new RetryDelays(dependencies.random());
        this.callLog =
                new CallLog(
                        dependencies.metrics(), call, route.name(), release.version(), activeCalls);
        this.deadlineRead = callLog.newDeadlineRead();
        this.streamVersions =
                new StreamVersions(dependencies.endpoints(), call, route, turnState, callLog);
        this.attempt =
                new CurrentAttempt(
                        dependencies,
                        call,
                        this,
                        callLog,
                        placement.newObserver(),
                        this::onPathLost);
        this.permit =
                new CallPermit(
                        dependencies.permits(),
                        exchange.getIoThread(),
                        call,
                        release,
                        route,
                        this::onPermitDecision);
        this.quarantine =
                new CallQuarantine(
                        dependencies, exchange, call, deadline, callLog, this::endRefused);
        this.callBody = new CallBody(dependencies, exchange, this::start, this::respond);
        activeCalls.add(this);
    }

    CallId id() {
        return call.id();
    }

    Option<CustomerName> customer() {
        return call.customer();
    }

    /** Returns whether the call has been sent to an endpoint that may have run it. */
    boolean mayHaveRun() {
        return attempt.isInProgress() || retryPolicy.possibleRuns() > 0;
    }

    /** Returns the time since the arrival of the call. */
    Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - arrivedAtNanos);
    }

    /** Receives the body of the request, of at most so many bytes, then sends the call. */
    void receive(long maximumBytes) {
        if (!deadline.start(exchange.getIoThread(), this::onDeadline)) {
            respond(refusal("deadline passed before the request body was read"));
            return;
        }
        callBody.receive(maximumBytes);
    }

    private void start(byte[] requestBody) {
        if (finished) {
            return;
        }
        body = requestBody;
        if (!maySend(System.nanoTime())) {
            refuseBecauseStopping();
            return;
        }
        disconnectDetector = DisconnectDetector.start(exchange, this::onCallerDisconnected);
        selectionRequest = placement.initialSelection();
        quarantine.admit(body, selectionRequest.service(), this::prepare);
    }

    /** Prepares a turn or stream before it is sent; other calls are sent at once. */
    private void prepare() {
        if (finished) {
            return;
        }
        selectionRequest = quarantine.restrict(selectionRequest);
        Option<LocalResponse> overShare =
                placement.shareRefusal(selectionRequest.service(), callLog, retryDelays);
        if (overShare.isDefined()) {
            respond(overShare.get());
            return;
        }
        if (!turnState.usesTokenBudget() && !route.callSemantics().isStream()) {
            dispatch();
            return;
        }
        permit.request(System.nanoTime());
        isPreparing = true;
        streamVersions
                .prepare(selectionRequest, deadline::remainingTime)
                .thenAcceptAsync(this::onTurnPrepared, exchange.getIoThread());
    }

    private void onTurnPrepared(TurnState.Preparation preparation) {
        isPreparing = false;
        if (finished) {
            turnState.settle();
            return;
        }
        switch (preparation) {
            case TurnState.Preparation.Ready(var origin) -> {
                body = turnState.prependHistory(body);
                dispatchAt(origin);
            }
            case TurnState.Preparation.BudgetSpent() -> respond(new LocalResponse.BudgetSpent());
            case TurnState.Preparation.NoSuchTurn() -> respond(new LocalResponse.NoSuchTurn());
            case TurnState.Preparation.Unavailable(String reason) -> respond(refusal(reason));
        }
    }

    /** Returns whether a stop of the host leaves time for the call, or for a retry of it. */
    private boolean maySend(long nowNanos) {
        long admittedNanos = attempt.startedOnce() ? nowNanos : arrivedAtNanos;
        return activeCalls.maySend(admittedNanos, nowNanos, deadline.nanos());
    }

    /** Sends the call after its origin has been recorded, or that of its stream was read. */
    private void dispatchAt(Option<StreamOrigin> origin) {
        Option<String> refusal = streamVersions.afterReservation(origin);
        if (refusal.isDefined()) {
            apply(retryPolicy.whenNoFurtherAttempt(), refusal.get());
            return;
        }
        dispatch();
    }

    private void dispatch() {
        if (finished) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (deadline.isDue(nowNanos)) {
            onDeadline();
            return;
        }
        if (!maySend(nowNanos)) {
            refuseBecauseStopping();
            return;
        }
        if (!permit.isReady(nowNanos)) {
            permit.request(nowNanos);
            return;
        }
        Either<SoftwareVersion, Selection> choice =
                streamVersions.select(selectionRequest, nowNanos);
        if (choice.isLeft()) {
            recordVersion(choice.getLeft());
            return;
        }
        switch (choice.get()) {
            case Selection.NoneEligible() ->
                    apply(retryPolicy.whenNoFurtherAttempt(), "no endpoint left");
            case Selection.RateLimited(Duration expectedWait) -> endRateLimited(expectedWait);
            case Selection.Selected selected -> sendTo(selected);
        }
    }

    /** Goes on when a permit arrives, unless the turn is still being prepared. */
    private void onPermitDecision(PermitDecision decision) {
        if (finished) {
            return;
        }
        switch (decision) {
            case PermitDecision.Granted _ -> {
                dependencies.metrics().recordPermitDecision("granted");
                if (!isPreparing) {
                    dispatch();
                }
            }
            case PermitDecision.Refused refused -> endOverLimit(refused);
        }
    }

    /** Ends a call whose customer is at its limit, at once. */
    private void endOverLimit(PermitDecision.Refused refused) {
        callLog.limitReached(refused);
        endRefused(
                new LocalResponse.OverLimit(
                        retryDelays.whenOverLimit(refused.retryAfter()),
                        "the customer is at its limit"));
    }

    /** Ends a call that is not sent again: refuses it only if no endpoint may have run it. */
    private void endRefused(LocalResponse whenNotRun) {
        switch (retryPolicy.whenNoFurtherAttempt()) {
            case RetryDecision.Refuse() -> respond(whenNotRun);
            case RetryDecision decision -> apply(decision, String.valueOf(whenNotRun));
        }
    }

    /** Records that the stream begins at another version before the call is sent there. */
    private void recordVersion(SoftwareVersion version) {
        streamVersions
                .recordVersion(selectionRequest, version, deadline.remainingTime())
                .thenAcceptAsync(this::onVersionRecorded, exchange.getIoThread());
    }

    private void onVersionRecorded(TurnState.Preparation preparation) {
        if (finished) {
            return;
        }
        if (preparation instanceof TurnState.Preparation.Ready(var origin)) {
            dispatchAt(origin);
            return;
        }
        apply(retryPolicy.whenNoFurtherAttempt(), "origin not recorded: " + preparation);
    }

    /**
     * Ends a call for which the rate limits of all endpoints leave no place, at once: the endpoints
     * would not take it before the caller can come back.
     */
    private void endRateLimited(Duration expectedWait) {
        dependencies.metrics().recordRateLimited(selectionRequest.service().value());
        endRefused(
                new LocalResponse.Refused(
                        retryDelays.whenRateLimited(expectedWait),
                        "all endpoints are at their rate limit"));
    }

    private void sendTo(Selection.Selected selected) {
        EndpointRequest request =
                placement.request(exchange, body, selected.endpoint().service(), quarantine);
        permit.use();
        boolean started =
                attempt.start(selected, request, deadline.remainingTime(), exchange.getIoThread());
        if (!started) {
            permit.reuse();
            selectionRequest = selectionRequest.excluding(selected.endpoint().id());
            apply(retryPolicy.after(new AttemptOutcome.NotSent()), "no host reaches the endpoint");
        }
    }

    /**
     * Retries a call elsewhere whose response cannot arrive while the path to its endpoint does not
     * work. One that must not run twice waits: its response may come when the path works again.
     */
    private void onPathLost() {
        if (finished || !retryPolicy.mayRetryUnanswered()) {
            return;
        }
        attempt.cancel();
        apply(retryPolicy.after(new AttemptOutcome.Unknown()), "path to the endpoint lost");
    }

    @Override
    public void onNoResponse(AttemptOutcome outcome, String reason) {
        deadlineRead.onArrival(DeadlineRead.Found.FAILURE);
        EndpointRecord endpoint = attempt.endWithoutResponse(outcome);
        if (finished) {
            return;
        }
        if (!(outcome instanceof AttemptOutcome.NotForwarded)) {
            selectionRequest = selectionRequest.excluding(endpoint.id());
        }
        if (!(outcome instanceof AttemptOutcome.Unknown)) {
            permit.reuse();
        }
        callLog.attemptFailed(endpoint.id(), outcome, reason);
        apply(retryPolicy.after(outcome), reason);
    }

    private void apply(RetryDecision decision, String reason) {
        switch (decision) {
            case RetryDecision.Retry() -> quarantine.beforeRetry(this::dispatch);
            case RetryDecision.Refuse() -> respond(refusal(reason));
            case RetryDecision.ReportUnknown() -> respond(unknown(reason));
            case RetryDecision.RelayResponse() ->
                    throw new IllegalStateException("a failed attempt has no response to relay");
        }
    }

    /** An attempt that ends with its time, at the endpoint or at another host, has timed out. */
    private LocalResponse unknown(String reason) {
        return deadline.isDue(System.nanoTime())
                ? new LocalResponse.TimedOut()
                : new LocalResponse.Unknown(reason);
    }

    /** Ends a call that could outlast this host; another host can take it at once. */
    private void refuseBecauseStopping() {
        dependencies.metrics().recordCallInStop("refused");
        apply(retryPolicy.whenNoFurtherAttempt(), STOP_REASON);
    }

    private LocalResponse refusal(String reason) {
        return new LocalResponse.Refused(retryDelays.standard(), reason);
    }

    @Override
    public void onResponseHead(int status, HeaderMap headers) {
        deadlineRead.onArrival(DeadlineRead.Found.PART);
        attempt.reportAnswered();
        relay = relays.open(status, headers, attempt);
    }

    @Override
    public void onResponseBody(ByteBuffer bytes) {
        deadlineRead.onArrival(DeadlineRead.Found.PART);
        if (relay instanceof EventStreamRelay
                && !relay.started()
                && !streamVersions.mayRelay(attempt.endpoint())) {
            handleIncompleteResponse(attempt.cancel(), "endpoint restarted with another version");
            return;
        }
        relay.onBody(bytes);
        if (relay.started()) {
            attempt.reportEvent();
        }
        if (relay.isTooLong()) {
            handleIncompleteResponse(attempt.cancel(), "response is too long");
        }
    }

    @Override
    public void onResponseEnd() {
        deadlineRead.onArrival(DeadlineRead.Found.END);
        EndpointRecord endpoint = attempt.endComplete(relay.status());
        if (finished) {
            return;
        }
        if (!relay.isComplete()) {
            handleIncompleteResponse(endpoint, "event stream ended inside an event");
            return;
        }
        quarantine.onAnswered(endpoint);
        RetryDecision decision = retryPolicy.after(new AttemptOutcome.Answered(relay.status()));
        if (decision instanceof RetryDecision.Retry && !relay.started()) {
            dropRelay();
            selectionRequest = selectionRequest.excluding(endpoint.id());
            dispatch();
            return;
        }
        if (relay instanceof EventStreamRelay eventStream && turnState.usesTokenBudget()) {
            finishTurn(eventStream, endpoint);
            return;
        }
        finish("answered", "status " + relay.status(), endpoint);
        relay.finish();
    }

    private void finishTurn(EventStreamRelay eventStream, EndpointRecord endpoint) {
        turnState.recordDeliveredTokens(relays.deliveredTokens(relay, endpoint));
        Duration timeToStore = deadline.timeToStore(System.nanoTime());
        if (timeToStore.isZero() && turnState.keepsHistory()) {
            onTurnStored(false, eventStream, endpoint);
            return;
        }
        isStoring = true;
        turnState
                .store(eventStream.collectedData(), timeToStore)
                .thenAcceptAsync(
                        stored -> onTurnStored(stored, eventStream, endpoint),
                        exchange.getIoThread());
    }

    private void onTurnStored(
            boolean stored, EventStreamRelay eventStream, EndpointRecord endpoint) {
        if (finished) {
            return;
        }
        if (stored) {
            finish("answered", "status " + eventStream.status(), endpoint);
            eventStream.finish();
            return;
        }
        eventStream.abort();
        finish("broken_off", "history was not stored", endpoint);
    }

    @Override
    public void onResponseFailure(String reason) {
        deadlineRead.onArrival(DeadlineRead.Found.FAILURE);
        EndpointRecord endpoint = attempt.end();
        if (!finished) {
            handleIncompleteResponse(endpoint, reason);
        }
    }

    private void handleIncompleteResponse(EndpointRecord endpoint, String reason) {
        callLog.responseBroken(endpoint.id(), reason, relay.started());
        if (relay.started()) {
            turnState.recordDeliveredTokens(relays.deliveredTokens(relay, endpoint));
            relay.abort();
            finish("broken_off", reason, endpoint);
            return;
        }
        dropRelay();
        selectionRequest = selectionRequest.excluding(endpoint.id());
        apply(retryPolicy.after(new AttemptOutcome.Unknown()), reason);
    }

    /** Drops the response of an attempt, of which the caller has received nothing. */
    private void dropRelay() {
        relay.release();
        relay = null;
    }

    /**
     * Ends the call after what has arrived of its response was read: a thread that was delayed runs
     * due timers before it reads from its connections.
     */
    private void onDeadline() {
        deadlineRead.begin(System.nanoTime() - deadline.nanos());
        attempt.readArrived();
        exchange.getIoThread().execute(this::endAtDeadline);
    }

    /** A turn that is being stored ends with its store, shortly after the deadline at most. */
    private void endAtDeadline() {
        deadlineRead.end();
        if (isStoring && !finished) {
            deadline.startGrace(exchange.getIoThread(), this::endTimedOut);
            return;
        }
        endTimedOut();
    }

    private void endTimedOut() {
        if (callBody.isMissing()) {
            respond(new LocalResponse.BodyMissing());
            return;
        }
        endUnanswered("timed_out", new LocalResponse.TimedOut(), "deadline passed");
    }

    /** Gives the call its final response now, because the host stops. Called on any thread. */
    void endBecauseStopping() {
        exchange.getIoThread().execute(this::onHostStopping);
    }

    private void onHostStopping() {
        if (finished) {
            return;
        }
        dependencies.metrics().recordCallInStop("ended");
        exchange.setPersistent(false);
        endUnanswered("broken_off", new LocalResponse.Unknown(STOP_REASON), STOP_REASON);
    }

    /**
     * Ends a call that waits for a response: refuses it if it was not sent to an endpoint, and
     * breaks off a response that has begun, with the given outcome in the log.
     */
    private void endUnanswered(String brokenOffOutcome, LocalResponse whenSent, String reason) {
        if (finished) {
            return;
        }
        boolean sent = mayHaveRun();
        EndpointRecord endpoint = cancelAttempt();
        if (isResponseStarted()) {
            relay.abort();
            finish(brokenOffOutcome, reason + " before the response ended", endpoint);
            return;
        }
        respond(sent ? whenSent : refusal(reason + " before the call was sent to an endpoint"));
    }

    private void onCallerDisconnected() {
        if (finished) {
            return;
        }
        EndpointRecord endpoint = cancelAttempt();
        finish("caller_gone", "caller closed its connection", endpoint);
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Cancels the attempt in progress; returns its endpoint, or null if there is none. */
    private EndpointRecord cancelAttempt() {
        if (!attempt.isInProgress()) {
            return null;
        }
        EndpointRecord endpoint = attempt.cancel();
        if (isResponseStarted()) {
            turnState.recordDeliveredTokens(relays.deliveredTokens(relay, endpoint));
        }
        return endpoint;
    }

    private boolean isResponseStarted() {
        return relay != null && relay.started();
    }

    private void respond(LocalResponse response) {
        if (finished) {
            return;
        }
        finish(response.label(), String.valueOf(response), null);
        LocalResponseEncoder.send(exchange, response);
    }

    /** Ends the call: stops its timer, settles its tokens, and records it in metrics and log. */
    private void finish(String outcome, String reason, EndpointRecord endpoint) {
        finished = true;
        if (relay != null) {
            relay.release();
        }
        activeCalls.remove(this);
        deadline.stop();
        callBody.release();
        if (disconnectDetector != null) {
            disconnectDetector.stop();
        }
        turnState.settle();
        permit.end();
        quarantine.end();
        callLog.ended(
                outcome,
                reason,
                retryPolicy.possibleRuns(),
                System.nanoTime() - arrivedAtNanos,
                Option.of(endpoint).map(EndpointRecord::id));
    }
}
