package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderMap;
import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.caller.RetryDecision;
import org.tamarackfold.caller.RetryPolicy;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Observation;
import org.tamarackfold.endpoint.PlacementRequest;
import org.tamarackfold.endpoint.Selection;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.ServiceDefinition;
import org.tamarackfold.operator.WeightedService;
import org.tamarackfold.time.Durations;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** One call from its arrival to the end of its answer; runs on the I/O thread of its connection. */
final class ActiveCall implements EndpointAttempt.Listener {
    private static final StructuredLog LOG = StructuredLog.of("caller");

    /** Longest wait of a call that names no deadline and whose route has a longer timeout. */
    private static final Duration LONGEST_WAIT = Duration.ofMinutes(5);

    /** Bounds of the time after which a refused caller comes back; spreads the returns. */
    private static final int RETRY_MINIMUM_MILLIS = 80;

    private static final int RETRY_SPREAD_MILLIS = 160;

    private final CallContext context;
    private final HttpServerExchange exchange;
    private final CallDescription call;
    private final Release release;
    private final Route route;
    private final long arrivedAt;
    private final RetryPolicy policy;
    private final TurnState turn;

    private byte[] body;
    private long endsAt;
    private XnioIoThread.Key timer;
    private DisconnectDetector watch;
    private PlacementRequest placement;
    private EndpointAttempt attempt;
    private long attemptStartedAt;
    private boolean headObserved;
    private ResponseRelay relay;
    private boolean finished;

    ActiveCall(
            CallContext context,
            HttpServerExchange exchange,
            CallDescription call,
            Release release,
            Route route,
            long arrivedAt) {
        this.context = context;
        this.exchange = exchange;
        this.call = call;
        this.release = release;
        this.route = route;
        this.arrivedAt = arrivedAt;
        this.policy = new RetryPolicy(route);
        this.turn = new TurnState(context.history(), call, route);
    }

    void bodyFailed(IOException error) {
        if (finished) {
            return;
        }
        boolean tooLarge =
                error instanceof RequestTooBigException
                        || exchange.getRequestContentLength() > release.limits().bodyBytes();
        exchange.setPersistent(false);
        answer(
                tooLarge
                        ? new LocalResponse.TooLarge()
                        : new LocalResponse.Malformed("body: " + error.getMessage()));
    }

    void start(byte[] received) {
        body = received;
        Duration wait = Durations.min(call.deadline().getOrElse(LONGEST_WAIT), route.timeout());
        endsAt = arrivedAt + wait.toNanos();
        long left = TimeUnit.NANOSECONDS.toMillis(endsAt - System.nanoTime());
        if (left <= 0) {
            answer(refusal("deadline has passed"));
            return;
        }
        timer = exchange.getIoThread().executeAfter(this::timedOut, left, TimeUnit.MILLISECONDS);
        watch = DisconnectDetector.start(exchange, this::callerGone);
        placement = new PlacementRequest(chooseService(), affinity(), HashSet.empty());
        if (!turn.needed()) {
            dispatch();
            return;
        }
        turn.prepare(timeLeft()).thenAcceptAsync(this::prepared, exchange.getIoThread());
    }

    /** All turns of a program prefer the same endpoint, because their prompts share a prefix. */
    private Option<String> affinity() {
        return call.turn().map(t -> t.program().value()).orElse(call::affinity);
    }

    private ServiceName chooseService() {
        double total = route.services().map(WeightedService::weight).sum().doubleValue();
        double point = context.random().nextDouble() * total;
        for (WeightedService entry : route.services()) {
            point -= entry.weight();
            if (point < 0) {
                return entry.service();
            }
        }
        return route.services().last().service();
    }

    private void prepared(TurnState.Preparation preparation) {
        if (finished) {
            turn.settle();
            return;
        }
        switch (preparation) {
            case TurnState.Preparation.Ready() -> {
                body = turn.fullBody(body);
                dispatch();
            }
            case TurnState.Preparation.BudgetSpent() -> answer(new LocalResponse.BudgetSpent());
            case TurnState.Preparation.NoSuchTurn() -> answer(new LocalResponse.NoSuchTurn());
            case TurnState.Preparation.Unavailable(String reason) -> answer(refusal(reason));
        }
    }

    private void dispatch() {
        if (finished) {
            return;
        }
        long now = System.nanoTime();
        Selection selection = context.endpoints().choose(placement, now);
        switch (selection) {
            case Selection.NoneLeft() -> conclude(policy.whenNoEndpointLeft(), "no endpoint left");
            case Selection.Chosen(EndpointRecord endpoint, int inFlight) ->
                    send(endpoint, inFlight, now);
        }
    }

    private void send(EndpointRecord endpoint, int inFlight, long now) {
        attempt = new EndpointAttempt(endpoint, call, context.headers(), this);
        attemptStartedAt = now;
        headObserved = false;
        LOG.event("dispatch")
                .with("call", call.id())
                .with("route", route.name())
                .with("release", release.version())
                .with("endpoint", endpoint.id())
                .with("in_flight", inFlight)
                .with("left_ms", timeLeft().toMillis())
                .info();
        String query = exchange.getQueryString();
        String path = query.isEmpty() ? call.path() : call.path() + '?' + query;
        HeaderMap headers =
                EndToEndHeaders.forEndpoint(exchange.getRequestHeaders(), context.headers());
        attempt.start(context.client(), path, headers, body, timeLeft());
    }

    private Duration timeLeft() {
        return Duration.ofNanos(Math.max(1_000_000, endsAt - System.nanoTime()));
    }

    @Override
    public void onNoResponse(AttemptOutcome outcome, String reason) {
        observe(
                switch (outcome) {
                    case AttemptOutcome.Rejected(AttemptOutcome.Cause _) -> new Observation.Full();
                    case AttemptOutcome.Answered(int _) -> new Observation.Nothing();
                    case AttemptOutcome.NotSent() -> new Observation.Failed();
                    case AttemptOutcome.Unknown() -> new Observation.Failed();
                });
        EndpointRecord endpoint = attempt.endpoint();
        attempt = null;
        context.metrics().attempt(endpoint.service().value(), outcome.getClass().getSimpleName());
        if (finished) {
            return;
        }
        placement = placement.without(endpoint.id());
        LOG.event("attempt_failed")
                .with("call", call.id())
                .with("endpoint", endpoint.id())
                .with("outcome", outcome)
                .with("reason", reason)
                .info();
        conclude(policy.after(outcome), reason);
    }

    private void conclude(RetryDecision step, String reason) {
        switch (step) {
            case RetryDecision.Retry() -> dispatch();
            case RetryDecision.Refuse() -> {
                turn.notRun();
                answer(refusal(reason));
            }
            case RetryDecision.ReportUnknown() -> answer(new LocalResponse.Unknown(reason));
            case RetryDecision.RelayResponse() ->
                    throw new IllegalStateException("no answer to relay");
        }
    }

    private LocalResponse refusal(String reason) {
        int jitter = context.random().nextInt(RETRY_SPREAD_MILLIS);
        return new LocalResponse.Refused(Duration.ofMillis(RETRY_MINIMUM_MILLIS + jitter), reason);
    }

    @Override
    public void onResponseHead(int status, HeaderMap headers) {
        headObserved = true;
        double millis = (System.nanoTime() - attemptStartedAt) / 1e6;
        observe(new Observation.Answered(millis));
        context.metrics().attempt(attempt.endpoint().service().value(), "answered");
        boolean stream = route.repeatability().isStream() && status < 300;
        relay =
                stream
                        ? new EventStreamRelay(exchange, status, headers, turn, this::flowControl)
                        : new BufferedResponseRelay(exchange, status, headers);
    }

    private void flowControl(boolean pause) {
        if (attempt != null) {
            attempt.pauseReading(pause);
        }
    }

    @Override
    public void onResponseBody(ByteBuffer bytes) {
        relay.onBody(bytes);
    }

    @Override
    public void onResponseEnd() {
        EndpointRecord endpoint = attempt.endpoint();
        attempt = null;
        if (finished) {
            return;
        }
        if (!relay.isComplete()) {
            brokenOff(endpoint, "answer ends inside an event");
            return;
        }
        RetryDecision step = policy.after(new AttemptOutcome.Answered(relay.status()));
        if (step instanceof RetryDecision.Retry && !relay.started()) {
            placement = placement.without(endpoint.id());
            dispatch();
            return;
        }
        if (relay instanceof EventStreamRelay stream && turn.needed()) {
            finishTurn(stream, endpoint);
            return;
        }
        finish("answered", "status " + relay.status(), endpoint);
        relay.finish();
    }

    private void finishTurn(EventStreamRelay stream, EndpointRecord endpoint) {
        turn.finished(handedOut(endpoint));
        turn.store(stream.collectedData(), timeLeft())
                .thenAcceptAsync(
                        stored -> turnStored(stored, stream, endpoint), exchange.getIoThread());
    }

    private void turnStored(boolean stored, EventStreamRelay stream, EndpointRecord endpoint) {
        if (finished) {
            return;
        }
        if (stored) {
            finish("answered", "status " + stream.status(), endpoint);
            stream.finish();
            return;
        }
        stream.abort();
        finish("broken_off", "history was not stored", endpoint);
    }

    @Override
    public void onResponseFailure(String reason) {
        EndpointRecord endpoint = attempt.endpoint();
        attempt = null;
        if (!finished) {
            brokenOff(endpoint, reason);
        }
    }

    private void brokenOff(EndpointRecord endpoint, String reason) {
        LOG.event("answer_broken")
                .with("call", call.id())
                .with("endpoint", endpoint.id())
                .with("reason", reason)
                .with("started", relay.started())
                .info();
        if (relay.started()) {
            turn.finished(handedOut(endpoint));
            relay.abort();
            finish("broken_off", reason, endpoint);
            return;
        }
        relay = null;
        placement = placement.without(endpoint.id());
        conclude(policy.after(new AttemptOutcome.Unknown()), reason);
    }

    private long handedOut(EndpointRecord endpoint) {
        long tokensPerEvent =
                release.service(endpoint.service())
                        .map(ServiceDefinition::tokensPerEvent)
                        .getOrElse(0);
        return relay instanceof EventStreamRelay stream ? stream.events() * tokensPerEvent : 0;
    }

    private void timedOut() {
        if (finished) {
            return;
        }
        boolean offered = attempt != null || policy.possibleRuns() > 0;
        EndpointRecord endpoint = cancelAttempt();
        if (hasStarted()) {
            relay.abort();
            finish("timed_out", "stream not finished in time", endpoint);
            return;
        }
        if (!offered) {
            turn.notRun();
            answer(refusal("not offered in time"));
            return;
        }
        answer(new LocalResponse.TimedOut());
    }

    private void callerGone() {
        if (finished) {
            return;
        }
        EndpointRecord endpoint = cancelAttempt();
        finish("caller_gone", "connection closed by the caller", endpoint);
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Cancels the attempt in progress; returns its endpoint, or null without an attempt. */
    private EndpointRecord cancelAttempt() {
        if (attempt == null) {
            return null;
        }
        EndpointRecord endpoint = attempt.endpoint();
        attempt.cancel();
        observe(new Observation.Nothing());
        attempt = null;
        if (hasStarted()) {
            turn.finished(handedOut(endpoint));
        }
        return endpoint;
    }

    private boolean hasStarted() {
        return relay != null && relay.started();
    }

    private void observe(Observation observation) {
        if (headObserved && !(observation instanceof Observation.Answered)) {
            return;
        }
        context.endpoints().finished(attempt.endpoint().id(), observation, System.nanoTime());
    }

    private void answer(LocalResponse answer) {
        if (finished) {
            return;
        }
        finish(answer.label(), String.valueOf(answer), null);
        LocalResponseEncoder.send(exchange, answer);
    }

    private void finish(String outcome, String reason, EndpointRecord endpoint) {
        finished = true;
        if (timer != null) {
            timer.remove();
        }
        if (watch != null) {
            watch.stop();
        }
        turn.settle();
        long tookNanos = System.nanoTime() - arrivedAt;
        context.metrics().call(route.name().value(), outcome, tookNanos / 1e9);
        StructuredLog.Line line =
                LOG.event("call_end")
                        .with("call", call.id())
                        .with("route", route.name())
                        .with("release", release.version())
                        .with("outcome", outcome)
                        .with("reason", reason)
                        .with("attempts", policy.possibleRuns())
                        .with("ms", TimeUnit.NANOSECONDS.toMillis(tookNanos));
        if (endpoint != null) {
            line.with("endpoint", endpoint.id());
        }
        line.info();
    }
}
