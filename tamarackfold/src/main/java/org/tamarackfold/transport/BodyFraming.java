package org.tamarackfold.transport;

/** How the end of a response's body is found (RFC 9112, 6.3). */
sealed interface BodyFraming {
    /** The response ends with its head, whatever length the head states. */
    record NoBody() implements BodyFraming {}

    /**
     * The body has a length.
     *
     * @param bytes the length, in bytes
     */
    record Length(long bytes) implements BodyFraming {}

    /** The body is sent in chunks and ends with the last one and its trailers. */
    record Chunks() implements BodyFraming {}

    /** The body ends with the connection. */
    record UntilClose() implements BodyFraming {}
}
