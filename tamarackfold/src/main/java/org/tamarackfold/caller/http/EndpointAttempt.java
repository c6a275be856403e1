package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.transport.ExchangeHandle;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
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
    private final Listener listener;
    private ExchangeHandle handle;

    /** Set when the head of the response is a rejection; otherwise null. */
    private AttemptOutcome.Rejected rejection;

    private boolean headAccepted;

    EndpointAttempt(
            EndpointRecord endpoint,
            CallDescription call,
            CallHeaderNames headerNames,
            Listener listener) {
        this.endpoint = endpoint;
        this.call = call;
        this.headerNames = headerNames;
        this.listener = listener;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    /**
     * Sends the call. The attempt has no timeout of its own after the connection is open: the call
     * cancels it at the deadline, so that a single timer decides how the call ends.
     */
    void start(
            PooledHttpClient client,
            String pathAndQuery,
            HeaderMap headers,
            byte[] body,
            Duration remainingTime) {
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

    /** Stops or resumes reading the response, to apply back-pressure to the endpoint. */
    void setReadingPaused(boolean paused) {
        if (handle != null) {
            handle.setReadingPaused(paused);
        }
    }

    @Override
    public void onHead(int status, HeaderMap headers) {
        if (headers.contains(headerNames.notRun())) {
            rejection = new AttemptOutcome.Rejected(AttemptOutcome.Cause.FULL);
            return;
        }
        if (status == MISDIRECTED_STATUS) {
            rejection = new AttemptOutcome.Rejected(AttemptOutcome.Cause.MISDIRECTED);
            return;
        }
        String echoedCallId = headers.getFirst(headerNames.callId());
        if (echoedCallId != null && !echoedCallId.equals(call.id().value())) {
            cancel();
            listener.onNoResponse(
                    new AttemptOutcome.Unknown(), "response carries the id of another call");
            return;
        }
        headAccepted = true;
        listener.onResponseHead(status, headers);
    }

    @Override
    public void onBody(ByteBuffer bytes) {
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
