package org.tamarackfold.transport;

import java.io.IOException;

/** Thrown when the bytes of a server are no response in the grammar of HTTP/1.1. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param reason what is malformed, for logs; holds no bytes of the server
     */
    MalformedResponseException(String reason) {
        super(reason);
    }
}
