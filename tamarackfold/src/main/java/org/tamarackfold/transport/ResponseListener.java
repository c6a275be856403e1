package org.tamarackfold.transport;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Receives a response on an I/O thread. Ends with exactly one of end and failure. */
public interface ResponseListener {
    /** The head has arrived. */
    void onHead(int status, HeaderMap headers);

    /** Bytes of the body have arrived; the buffer is valid during the call only. */
    void onBody(ByteBuffer bytes);

    /** The response is complete. */
    void onEnd();

    /** The exchange ended without a complete response. */
    void onFailure(TransportFailure failure);
}
