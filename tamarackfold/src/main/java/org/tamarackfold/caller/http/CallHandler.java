package org.tamarackfold.caller.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;

/** Accepts the calls of callers. */
public final class CallHandler implements HttpHandler {
    /** When to come back while no release is known; the first one arrives within a second. */
    private static final Duration NO_RELEASE_RETRY = Duration.ofMillis(300);

    private final CallContext context;
    private final CallDecoder decoder;
    private final AtomicInteger active = new AtomicInteger();
    private volatile boolean draining;
    private volatile long lastCallNanos = System.nanoTime();

    /** Creates the handler. */
    public CallHandler(CallContext context) {
        this.context = context;
        this.decoder = new CallDecoder(context.headers());
    }

    /** Asks callers to close their connections after the calls in progress. */
    public void startDraining() {
        draining = true;
    }

    /** Returns the number of calls in progress. */
    public int activeCalls() {
        return active.get();
    }

    /** Returns the monotonic time at which the last call arrived, in ns. */
    public long lastCallNanos() {
        return lastCallNanos;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivedAt = System.nanoTime();
        lastCallNanos = arrivedAt;
        if (draining) {
            exchange.setPersistent(false);
        }
        active.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (finished, next) -> {
                    active.decrementAndGet();
                    next.proceed();
                });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange, arrivedAt));
    }

    private void accept(HttpServerExchange exchange, long arrivedAt) {
        Either<String, CallDescription> decoded = decoder.decode(exchange);
        if (decoded.isLeft()) {
            exchange.setPersistent(false);
            LocalResponseEncoder.send(exchange, new LocalResponse.Malformed(decoded.getLeft()));
            return;
        }
        CallDescription call = decoded.get();
        Option<Release> release = context.releases().current();
        if (release.isEmpty()) {
            LocalResponseEncoder.send(
                    exchange, new LocalResponse.Refused(NO_RELEASE_RETRY, "no release"));
            return;
        }
        Option<Route> route = release.get().routeFor(call.host(), call.path());
        if (route.isEmpty()) {
            LocalResponseEncoder.send(exchange, new LocalResponse.NoRoute());
            return;
        }
        long limit = release.get().limits().bodyBytes();
        if (exchange.getRequestContentLength() > limit) {
            exchange.setPersistent(false);
            LocalResponseEncoder.send(exchange, new LocalResponse.TooLarge());
            return;
        }
        exchange.setMaxEntitySize(limit);
        ActiveCall session =
                new ActiveCall(context, exchange, call, release.get(), route.get(), arrivedAt);
        // Undertow ends the exchange when a callback returns without a dispatch.
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(
                                        SameThreadExecutor.INSTANCE, () -> session.start(body)),
                        (received, error) ->
                                received.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> session.bodyFailed(error)));
    }
}
