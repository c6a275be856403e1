package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.endpoint.BreakCause;
import org.tamarackfold.endpoint.BreakTracer;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.ReachabilityMonitor;
import org.tamarackfold.id.CallId;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.transport.ExchangeHandle;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseHead;
import org.tamarackfold.transport.ResponseListener;
import org.tamarackfold.transport.TransportFailure;

/**
 * An attempt that sends the call to the endpoint itself. Translates the events of the HTTP exchange
 * into the outcome of the attempt.
 */
final class DirectAttempt implements EndpointAttempt, ResponseListener {
    /** Connect timeout; an endpoint that is up accepts a connection within a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private final EndpointRecord endpoint;
    private final CallId call;
    private final PooledHttpClient client;
    private final ReachabilityMonitor reachability;
    private final BreakTracer breaks;
    private final Quarantine quarantine;
    private final CallHeaderNames headerNames;
    private final ResponseVerifier verifier;
    private final EndpointTable endpoints;
    private final RateLimitReader rateLimitReader;
    private final LeavingReader leavingReader;
    private final HostMetrics metrics;
    private final Listener listener;
    private ExchangeHandle handle;
    private long startedAtNanos;
    private CrashWatch crashWatch;

    private boolean headAccepted;

    DirectAttempt(
            EndpointRecord endpoint,
            CallId call,
            CallDependencies dependencies,
            Listener listener) {
        this.endpoint = endpoint;
        this.call = call;
        this.client = dependencies.client();
        this.reachability = dependencies.paths().reachability();
        this.breaks = dependencies.paths().breaks();
        this.quarantine = dependencies.quarantine();
        this.headerNames = dependencies.headerNames();
        this.verifier = new ResponseVerifier(headerNames);
        this.endpoints = dependencies.endpoints();
        this.rateLimitReader = new RateLimitReader(headerNames.rateLimit(), endpoints);
        this.leavingReader = new LeavingReader(headerNames.leaving(), endpoints, client);
        this.metrics = dependencies.metrics();
        this.listener = listener;
    }

    @Override
    public EndpointRecord endpoint() {
        return endpoint;
    }

    @Override
    public void start(EndpointRequest request, Duration remainingTime) {
        HeaderMap headers = new HeaderMap();
        request.headers().forEach(values -> headers.addAll(values.getHeaderName(), values));
        headers.put(headerNames.deadline(), Long.toString(remainingTime.toMillis()));
        headers.put(headerNames.expectedEndpoint(), endpoint.id().value());
        HttpRequest httpRequest =
                HttpRequest.builder()
                        .address(endpoint.address())
                        .method(new HttpString(request.method()))
                        .path(request.pathAndQuery())
                        .headers(headers)
                        .body(request.body())
                        .connectTimeout(CONNECT_TIMEOUT)
                        .withoutResponseTimeout()
                        .build();
        startedAtNanos = System.nanoTime();
        crashWatch = request.crashWatch();
        handle = client.send(httpRequest, this);
    }

    @Override
    public void cancel() {
        if (handle != null) {
            handle.cancel();
        }
    }

    @Override
    public void readArrived() {
        if (handle != null) {
            handle.readArrived();
        }
    }

    @Override
    public ExchangeHandle.Stage stage() {
        return handle.stage();
    }

    @Override
    public CompletableFuture<Boolean> checkPath() {
        return reachability.check(endpoint);
    }

    @Override
    public void setReadingPaused(boolean paused) {
        if (handle != null) {
            handle.setReadingPaused(paused);
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        endpoints.recordHeard(endpoint.id(), System.nanoTime());
        Option<String> mismatch =
                verifier.mismatch(call, head.status(), head.headers(), head.reusedConnection());
        if (mismatch.isDefined()) {
            cancel();
            listener.onNoResponse(new AttemptOutcome.Unknown(), mismatch.get());
            return;
        }
        boolean misdirected = head.status() == ResponseVerifier.MISDIRECTED_STATUS;
        if (!misdirected) {
            // A misdirected call was answered by another endpoint, which speaks for itself only.
            rateLimitReader.read(endpoint.id(), call, head.headers());
            leavingReader.read(endpoint, call, head.headers());
        }
        if (head.headers().contains(headerNames.notRun())) {
            onRejection(AttemptOutcome.Cause.FULL);
            return;
        }
        if (misdirected) {
            onRejection(AttemptOutcome.Cause.MISDIRECTED);
            return;
        }
        headAccepted = true;
        listener.onResponseHead(head.status(), head.headers());
    }

    /** Ends the attempt at the head of a rejection: its body may be long or never end. */
    private void onRejection(AttemptOutcome.Cause cause) {
        AttemptOutcome rejected = new AttemptOutcome.Rejected(cause);
        handle.discardBody(() -> listener.onNoResponse(rejected, "rejected by the endpoint"));
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        endpoints.recordHeard(endpoint.id(), System.nanoTime());
        listener.onResponseBody(bytes);
    }

    @Override
    public void onEnd() {
        listener.onResponseEnd();
    }

    @Override
    public void onFailure(TransportFailure failure) {
        if (failure instanceof TransportFailure.Malformed) {
            metrics.recordMalformedResponse(endpoint.service().value());
        }
        traceBreak(failure);
        if (headAccepted) {
            listener.onResponseFailure(String.valueOf(failure));
            return;
        }
        reportPath(failure);
        AttemptOutcome outcome =
                switch (failure) {
                    case TransportFailure.NotSent(String _) -> new AttemptOutcome.NotSent();
                    case TransportFailure.ClosedBeforeResponse(String _) ->
                            new AttemptOutcome.Unknown();
                    case TransportFailure.Broken(String _) -> new AttemptOutcome.Unknown();
                    case TransportFailure.Malformed(String _) -> new AttemptOutcome.Unknown();
                    case TransportFailure.TimedOut(boolean _) -> new AttemptOutcome.Unknown();
                };
        listener.onNoResponse(outcome, String.valueOf(failure));
    }

    /** A connection that was closed or reset does not tell whether its endpoint has ended. */
    private void traceBreak(TransportFailure failure) {
        if (failure instanceof TransportFailure.Broken
                || failure instanceof TransportFailure.ClosedBeforeResponse) {
            Duration exposure = Duration.ofNanos(System.nanoTime() - startedAtNanos);
            crashWatch.onBroken(
                    breaks.trace(endpoint, startedAtNanos)
                            .thenAccept(cause -> recordBreak(cause, exposure)));
        }
    }

    private void recordBreak(BreakCause cause, Duration exposure) {
        if (cause instanceof BreakCause.Ended(EndpointRecord ended)) {
            crashWatch
                    .fingerprint()
                    .forEach(request -> quarantine.recordEnd(request, ended, exposure));
        }
    }

    /** A connection that breaks may be the first sign of a cut, but endpoints reset some, too. */
    private void reportPath(TransportFailure failure) {
        if (failure instanceof TransportFailure.NotSent) {
            reachability.onConnectFailed(endpoint);
        } else {
            reachability.check(endpoint);
        }
    }
}
