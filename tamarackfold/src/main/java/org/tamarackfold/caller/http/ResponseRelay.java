package org.tamarackfold.caller.http;

import java.nio.ByteBuffer;

/** Passes the answer of an endpoint to the caller. */
sealed interface ResponseRelay permits EventStreamRelay, BufferedResponseRelay {
    /** Takes bytes of the body. */
    void onBody(ByteBuffer bytes);

    /** Returns the status of the endpoint. */
    int status();

    /** Tells whether anything has been sent to the caller. */
    boolean started();

    /** Tells whether the answer, if it ends here, is whole. */
    boolean isComplete();

    /** Ends the answer. */
    void finish();

    /** Breaks the answer off, so that it does not look complete. */
    void abort();
}
