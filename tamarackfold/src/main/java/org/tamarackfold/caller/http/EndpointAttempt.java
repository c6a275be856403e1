package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.time.Durations;
import org.tamarackfold.transport.ExchangeHandle;
import org.tamarackfold.transport.HttpClientPool;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.ResponseListener;
import org.tamarackfold.transport.TransportFailure;

/** One attempt to run a call at one endpoint. */
final class EndpointAttempt implements ResponseListener {
    /** Longest wait for a new connection to an endpoint; a live one answers within a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final int MISDIRECTED = 421;

    /** Receives what the attempt brings; ends with one of outcome, end and break. */
    interface Listener {
        /** The endpoint runs the call and has sent the head of its answer. */
        void onResponseHead(int status, HeaderMap headers);

        /** Bytes of the answer have arrived. */
        void onResponseBody(ByteBuffer bytes);

        /** The answer is complete. */
        void onResponseEnd();

        /** The answer broke off after its head. */
        void onResponseFailure(String reason);

        /** The attempt ended without an answer of the endpoint. */
        void onNoResponse(AttemptOutcome outcome, String reason);
    }

    private final EndpointRecord endpoint;
    private final CallDescription call;
    private final CallHeaders names;
    private final Listener listener;
    private ExchangeHandle handle;
    private AttemptOutcome.Rejected rejection;
    private boolean answered;

    EndpointAttempt(
            EndpointRecord endpoint, CallDescription call, CallHeaders names, Listener listener) {
        this.endpoint = endpoint;
        this.call = call;
        this.names = names;
        this.listener = listener;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    void start(
            HttpClientPool client,
            String pathAndQuery,
            HeaderMap headers,
            byte[] body,
            Duration timeLeft) {
        headers.put(names.deadline(), Long.toString(timeLeft.toMillis()));
        headers.put(names.expectedEndpoint(), endpoint.id().value());
        HttpRequest request =
                HttpRequest.builder()
                        .address(endpoint.address())
                        .method(new HttpString(call.method()))
                        .path(pathAndQuery)
                        .headers(headers)
                        .body(body)
                        .connectTimeout(Durations.min(CONNECT_TIMEOUT, timeLeft))
                        .responseTimeout(timeLeft)
                        .build();
        handle = client.send(request, this);
    }

    void cancel() {
        if (handle != null) {
            handle.cancel();
        }
    }

    void pauseReading(boolean paused) {
        if (handle != null) {
            handle.pauseReading(paused);
        }
    }

    @Override
    public void onHead(int status, HeaderMap headers) {
        if (headers.contains(names.notExecuted())) {
            rejection = new AttemptOutcome.Rejected(AttemptOutcome.Cause.FULL);
            return;
        }
        if (status == MISDIRECTED) {
            rejection = new AttemptOutcome.Rejected(AttemptOutcome.Cause.MISDIRECTED);
            return;
        }
        String echoed = headers.getFirst(names.callId());
        if (echoed != null && !echoed.equals(call.id().value())) {
            cancel();
            listener.onNoResponse(new AttemptOutcome.Unknown(), "answer of another call");
            return;
        }
        answered = true;
        listener.onResponseHead(status, headers);
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        if (answered) {
            listener.onResponseBody(bytes);
        }
    }

    @Override
    public void onEnd() {
        if (answered) {
            listener.onResponseEnd();
            return;
        }
        listener.onNoResponse(rejection, "rejected");
    }

    @Override
    public void onFailure(TransportFailure failure) {
        if (answered) {
            listener.onResponseFailure(String.valueOf(failure));
            return;
        }
        if (rejection != null) {
            listener.onNoResponse(rejection, "rejected");
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
