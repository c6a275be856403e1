package org.tamarackfold.transport;

import java.nio.ByteBuffer;

/**
 * Receives a response. All methods are called on the I/O thread of the exchange. The last call is
 * either {@link #onEnd} or {@link #onFailure}; a cancelled exchange makes no further calls.
 */
public interface ResponseListener {
    /** Called once, when the status line and the headers of the final response have arrived. */
    void onHead(ResponseHead head);

    /** Called for each part of the body; the buffer is valid during the call only. */
    void onBody(ByteBuffer bytes);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the exchange has ended without a complete response. */
    void onFailure(TransportFailure failure);
}
