package org.tamarackfold.transport;

/** Why an exchange with a server ended without a complete response. */
public sealed interface TransportFailure {
    /**
     * No byte of the request was sent, because no connection could be opened.
     *
     * @param reason the cause, for logs
     */
    record NotSent(String reason) implements TransportFailure {}

    /**
     * The request was sent on a reused idle connection, which was closed before any byte of a
     * response arrived.
     *
     * @param reason the cause, for logs
     */
    record ClosedBeforeResponse(String reason) implements TransportFailure {}

    /**
     * The request was sent, at least in part, and the connection failed before the response was
     * complete.
     *
     * @param reason the cause, for logs
     */
    record Broken(String reason) implements TransportFailure {}

    /**
     * The request was sent, at least in part, and the server sent bytes that are no response in the
     * grammar of HTTP/1.1. The connection works, but nothing that came on it can be trusted.
     *
     * @param reason what is malformed, for logs
     */
    record Malformed(String reason) implements TransportFailure {}

    /**
     * The response was not complete within the response timeout.
     *
     * @param headSeen whether the status line and headers had arrived
     */
    record TimedOut(boolean headSeen) implements TransportFailure {}
}
