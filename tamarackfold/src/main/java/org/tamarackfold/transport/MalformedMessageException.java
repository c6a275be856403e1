package org.tamarackfold.transport;

import java.io.IOException;

/** Thrown when bytes of a peer are no message in the grammar of HTTP/1.1. */
final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param reason what is malformed, for logs; holds no bytes of the peer
     */
    MalformedMessageException(String reason) {
        super(reason);
    }
}
