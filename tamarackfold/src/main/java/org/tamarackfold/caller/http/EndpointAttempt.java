package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.transport.ExchangeHandle;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseHead;
import org.tamarackfold.transport.ResponseListener;
import org.tamarackfold.transport.TransportFailure;

/**
 * One attempt to run a call at one endpoint. Translates the events of the HTTP exchange into the
 * outcome of the attempt.
 */
final class EndpointAttempt implements ResponseListener {
    /** Connect timeout; an endpoint that is up accepts a connection within a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final int MISDIRECTED_STATUS = 421;

    /**
     * Receives the events of the attempt on an I/O thread. The last one is onResponseEnd,
     * onResponseFailure or onNoResponse.
     */
    interface Listener {
        /** The endpoint runs the call and has sent the head of its response. */
        void onResponseHead(int status, HeaderMap headers);

        /** Bytes of the response body have arrived; the buffer is valid during the call only. */
        void onResponseBody(ByteBuffer bytes);

        /** The response is complete. */
        void onResponseEnd();

        /** The response failed or timed out after its head had arrived. */
        void onResponseFailure(String reason);

        /** The attempt ended without a response that may be relayed to the caller. */
        void onNoResponse(AttemptOutcome outcome, String reason);
    }

    private final EndpointRecord endpoint;
    private final CallDescription call;
    private final CallHeaderNames headerNames;
    private final EndpointTable endpoints;
    private final RateLimitReader rateLimitReader;
    private final LeavingReader leavingReader;
    private final Listener listener;
    private ExchangeHandle handle;

    /** Set when the head of the response is a rejection; otherwise null. */
    private AttemptOutcome.Rejected rejection;

    private boolean headAccepted;

    EndpointAttempt(
            EndpointRecord endpoint,
            CallDescription call,
            CallDependencies dependencies,
            Listener listener) {
        this.endpoint = endpoint;
        this.call = call;
        this.headerNames = dependencies.headerNames();
        this.endpoints = dependencies.endpoints();
        this.rateLimitReader = new RateLimitReader(headerNames.rateLimit(), endpoints);
        this.leavingReader =
                new LeavingReader(headerNames.leaving(), endpoints, dependencies.client());
        this.listener = listener;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    /**
     * Sends the call that was received in an exchange, with the given body. The attempt has no
     * timeout of its own after the connection is open: the call cancels it at the deadline, so that
     * a single timer decides how the call ends.
     */
    void start(
            PooledHttpClient client,
            HttpServerExchange exchange,
            byte[] body,
            Duration remainingTime) {
        String query = exchange.getQueryString();
        String pathAndQuery = query.isEmpty() ? call.path() : call.path() + '?' + query;
        HeaderMap headers = EndToEndHeaders.forEndpoint(exchange.getRequestHeaders(), headerNames);
        headers.put(headerNames.deadline(), Long.toString(remainingTime.toMillis()));
        headers.put(headerNames.expectedEndpoint(), endpoint.id().value());
        HttpRequest request =
                HttpRequest.builder()
                        .address(endpoint.address())
                        .method(new HttpString(call.method()))
                        .path(pathAndQuery)
                        .headers(headers)
                        .body(body)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .withoutResponseTimeout()
                        .build();
        handle = client.send(request, this);
    }

    /** Closes the connection to the endpoint; the listener receives no further events. */
    void cancel() {
        if (handle != null) {
            handle.cancel();
        }
    }

    /** Returns how far the attempt has come before the head of its response. */
    ExchangeHandle.Stage stage() {
        return handle.stage();
    }

    /** Stops or resumes reading the response, to apply back-pressure to the endpoint. */
    void setReadingPaused(boolean paused) {
        if (handle != null) {
            handle.setReadingPaused(paused);
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        endpoints.recordHeard(endpoint.id(), System.nanoTime());
        Option<String> mismatch = mismatch(head);
        if (mismatch.isDefined()) {
            cancel();
            listener.onNoResponse(new AttemptOutcome.Unknown(), mismatch.get());
            return;
        }
        boolean misdirected = head.status() == MISDIRECTED_STATUS;
        if (!misdirected) {
            // A misdirected call was answered by another endpoint, which speaks for itself only.
            rateLimitReader.read(endpoint.id(), call.id(), head.headers());
            leavingReader.read(endpoint, call.id(), head.headers());
        }
        if (head.headers().contains(headerNames.notRun())) {
            rejection = new AttemptOutcome.Rejected(AttemptOutcome.Cause.FULL);
            return;
        }
        if (misdirected) {
            rejection = new AttemptOutcome.Rejected(AttemptOutcome.Cause.MISDIRECTED);
            return;
        }
        headAccepted = true;
        listener.onResponseHead(head.status(), head.headers());
    }

    /**
     * Returns why the response, also a rejection, does not belong to this call; none if it does. An
     * endpoint may send a copy of an earlier response late, when the connection has been reused:
     * relayed, it would be the answer to another call, and taken for a rejection, it would let a
     * call that runs be sent again.
     */
    private Option<String> mismatch(ResponseHead head) {
        String echoedCallId = head.headers().getFirst(headerNames.callId());
        if (echoedCallId == null) {
            return head.reusedConnection()
                    ? Option.some("response on a reused connection carries no call id")
                    : Option.none();
        }
        return echoedCallId.equals(call.id().value())
                ? Option.none()
                : Option.some("response carries the id of another call");
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        endpoints.recordHeard(endpoint.id(), System.nanoTime());
        if (headAccepted) {
            listener.onResponseBody(bytes);
        }
    }

    @Override
    public void onEnd() {
        if (headAccepted) {
            listener.onResponseEnd();
            return;
        }
        listener.onNoResponse(rejection, "rejected by the endpoint");
    }

    @Override
    public void onFailure(TransportFailure failure) {
        if (headAccepted) {
            listener.onResponseFailure(String.valueOf(failure));
            return;
        }
        if (rejection != null) {
            listener.onNoResponse(rejection, "rejected by the endpoint");
            return;
        }
        AttemptOutcome outcome =
                switch (failure) {
                    case TransportFailure.NotSent(String _) -> new AttemptOutcome.NotSent();
                    case TransportFailure.ClosedBeforeResponse(String _) ->
                            new AttemptOutcome.Unknown();
                    case TransportFailure.Broken(String _) -> new AttemptOutcome.Unknown();
                    case TransportFailure.TimedOut(boolean _) -> new AttemptOutcome.Unknown();
                };
        listener.onNoResponse(outcome, String.valueOf(failure));
    }
}
