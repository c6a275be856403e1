package org.tamarackfold.transport;

/** Why an exchange with a peer ended without a complete response. */
public sealed interface TransportFailure {
    /**
     * No byte of the request left this process.
     *
     * @param reason the cause
     */
    record NotSent(String reason) implements TransportFailure {}

    /**
     * The request was sent on a connection that had been idle and was closed before any byte of a
     * response.
     *
     * @param reason the cause
     */
    record ClosedBeforeResponse(String reason) implements TransportFailure {}

    /**
     * The request was sent and the response is missing or incomplete.
     *
     * @param reason the cause
     */
    record Broken(String reason) implements TransportFailure {}

    /**
     * The response did not end in time.
     *
     * @param headSeen whether the head had arrived
     */
    record TimedOut(boolean headSeen) implements TransportFailure {}
}
