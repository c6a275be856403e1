package org.tamarackfold.transport;

import java.nio.ByteBuffer;

/**
 * Decides what the requests of a connection are, independently of how their bytes arrive. Checks
 * one request at a time. Not thread-safe.
 */
final class RequestCheck {
    private final RequestHeadCheck head = new RequestHeadCheck();
    private final RequestBodyCheck body = new RequestBodyCheck();

    /** Expects the next request. */
    void startRequest() {
        head.startRequest();
    }

    /** Returns what the request asks for, after its head is complete. */
    RequestTarget target() {
        return head.target();
    }

    /** Returns whether the head is complete, and the body is not. */
    boolean isInBody() {
        return head.isComplete() && !body.isComplete();
    }

    /** Returns whether the request is complete. */
    boolean isComplete() {
        return head.isComplete() && body.isComplete();
    }

    /**
     * Checks the bytes of a buffer from an offset to its position.
     *
     * @return the offset of the first byte after the request; the position if there is none
     * @throws MalformedMessageException when the bytes cannot be part of a request
     */
    int check(ByteBuffer buffer, int offset) throws MalformedMessageException {
        int next = offset;
        if (!head.isComplete()) {
            next = head.check(buffer, offset);
            if (!head.isComplete()) {
                return next;
            }
            body.startBody(head.framing());
        }
        return body.check(buffer, next);
    }
}
