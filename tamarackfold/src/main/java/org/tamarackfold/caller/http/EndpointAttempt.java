package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.transport.ExchangeHandle;

/** One attempt to run a call at one endpoint. */
sealed interface EndpointAttempt permits DirectAttempt, ForwardedAttempt {
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

    /** Returns the endpoint that is to run the call. */
    EndpointRecord endpoint();

    /**
     * Sends the call. The attempt has no timeout of its own after the connection is open: the call
     * cancels it at the deadline, so that a single timer decides how the call ends.
     */
    void start(EndpointRequest request, Duration remainingTime);

    /** Closes the connection; the listener receives no further events. */
    void cancel();

    /** Stops or resumes reading the response, to apply back-pressure to the endpoint. */
    void setReadingPaused(boolean paused);

    /**
     * Reads what has arrived of the response in the next task of the I/O thread; has no effect
     * while reading is paused.
     */
    void readArrived();

    /** Returns how far the attempt has come before the head of its response. */
    ExchangeHandle.Stage stage();

    /** Checks whether a response can still arrive on the path that the attempt uses. */
    CompletableFuture<Boolean> checkPath();
}
