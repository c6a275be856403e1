package org.tamarackfold.caller.http;

import java.nio.ByteBuffer;

/** Sends the response of an endpoint to the caller. */
sealed interface ResponseRelay permits EventStreamRelay, BufferedResponseRelay {
    /** Receives bytes of the response body from the endpoint. */
    void onBody(ByteBuffer bytes);

    /** Returns the HTTP status code of the endpoint. */
    int status();

    /** Returns whether the response to the caller has started, after which no retry is possible. */
    boolean started();

    /**
     * Returns whether the response would be complete if it ended with the bytes received so far.
     */
    boolean isComplete();

    /**
     * Returns whether the bytes received so far cannot belong to a valid response, or are too many
     * to be kept.
     */
    boolean isTooLong();

    /** Sends what remains of the response and ends it. */
    void finish();

    /** Closes the connection to the caller, so that a truncated response does not look complete. */
    void abort();

    /** Gives back the memory of the response; called once it is over for this relay. */
    void release();
}
