package org.tamarackfold.caller.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.caller.StopSchedule;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.transport.RequestInput;

/** Accepts calls over HTTP: checks each request, reads its body and starts the call. */
public final class CallHandler implements HttpHandler {
    private static final StructuredLog LOG = StructuredLog.of("caller");

    /** Route name in the metrics for requests that belong to no route. */
    private static final String UNROUTED = "none";

    /** Retry-After delay while no release is known; a starting host reads it within a second. */
    private static final Duration NO_RELEASE_RETRY_AFTER = Duration.ofMillis(300);

    /** The response while the release is unconfirmed; hosts ask each other every 400 ms. */
    private static final LocalResponse UNCONFIRMED =
            new LocalResponse.Refused(Duration.ofSeconds(1), "release is not confirmed");

    private final CallDependencies dependencies;
    private final CallDecoder decoder;
    private final CallerAuthentication authentication;
    private final ActiveCalls activeCalls;

    /**
     * Creates the handler.
     *
     * @param dependencies the dependencies that all calls share
     */
    public CallHandler(CallDependencies dependencies) {
        this.dependencies = dependencies;
        this.decoder = new CallDecoder(dependencies.headerNames());
        this.authentication = new CallerAuthentication(dependencies.metrics());
        this.activeCalls = new ActiveCalls(dependencies.metrics());
    }

    /**
     * From now on, closes each connection after the response to the next call on it, and sends
     * calls to endpoints only as the schedule allows.
     *
     * @param requestedAtNanos when the stop was requested, in ns of {@link System#nanoTime()}
     */
    public void startDraining(long requestedAtNanos, StopSchedule schedule) {
        activeCalls.startStop(requestedAtNanos, schedule);
    }

    /** Gives all calls in progress their final responses; no call is sent any more. */
    public void endCalls() {
        activeCalls.endAll();
    }

    /** Logs and counts the calls that are cut off because the process ends. */
    public void logCutCalls() {
        activeCalls.logCutCalls();
    }

    /** Returns the number of calls whose response has not ended. */
    public int activeCalls() {
        return activeCalls.count();
    }

    /** Returns the time at which the last call arrived, in ns of {@link System#nanoTime()}. */
    public long lastCallNanos() {
        return activeCalls.lastArrivalNanos();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivedAtNanos = System.nanoTime();
        activeCalls.onArrival(arrivedAtNanos);
        exchange.addResponseCommitListener(this::closeConnectionIfStopping);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    activeCalls.onResponseEnd();
                    next.proceed();
                });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange, arrivedAtNanos));
    }

    /** Keeps the connection open for a request that the caller has sent already. */
    private void closeConnectionIfStopping(HttpServerExchange exchange) {
        if (activeCalls.isStopping() && !RequestInput.of(exchange).hasFollowing()) {
            exchange.setPersistent(false);
        }
    }

    private void accept(HttpServerExchange exchange, long arrivedAtNanos) {
        Either<String, CallDescription> decoded = decoder.decode(exchange);
        if (decoded.isLeft()) {
            exchange.setPersistent(false);
            reject(exchange, new LocalResponse.Malformed(decoded.getLeft()));
            return;
        }
        CallDescription call = decoded.get();
        Option<Release> release = dependencies.releases().current();
        if (release.isEmpty()) {
            reject(exchange, new LocalResponse.Refused(NO_RELEASE_RETRY_AFTER, "no release"));
            return;
        }
        Option<Route> route = release.get().routeFor(call.host(), call.path());
        if (route.isEmpty()) {
            reject(exchange, new LocalResponse.NoRoute());
            return;
        }
        if (dependencies.revocationGuard().refuses(release.get(), route.get())) {
            reject(exchange, UNCONFIRMED);
            return;
        }
        Either<LocalResponse, CallDescription> identified =
                authentication.identify(exchange, call, release.get(), route.get());
        if (identified.isLeft()) {
            reject(exchange, identified.getLeft());
            return;
        }
        long bodyLimitBytes = release.get().limits().bodyBytes();
        if (exchange.getRequestContentLength() > bodyLimitBytes) {
            exchange.setPersistent(false);
            reject(exchange, new LocalResponse.TooLarge());
            return;
        }
        ActiveCall activeCall =
                new ActiveCall(
                        dependencies,
                        activeCalls,
                        exchange,
                        identified.get(),
                        release.get(),
                        route.get(),
                        arrivedAtNanos);
        activeCall.receive(bodyLimitBytes);
    }

    /** Answers a request that becomes no call, with a line and a count that explain it. */
    private void reject(HttpServerExchange exchange, LocalResponse response) {
        String callId = exchange.getRequestHeaders().getFirst(dependencies.headerNames().callId());
        LOG.event("call_rejected")
                .with("call", callId)
                .with("path", exchange.getRequestURI())
                .with("outcome", response.label())
                .with("reason", response)
                .info();
        dependencies.metrics().recordCall(UNROUTED, response.label(), 0);
        RequestInput input = RequestInput.of(exchange);
        if (input.expectsContinue()) {
            // The client may send the body or not.
            input.discardRest();
        }
        LocalResponseEncoder.send(exchange, response);
    }
}
