package org.tamarackfold.peer;

import io.vavr.collection.Seq;

/**
 * What a forwarding host reports about a call. {@link Accepted} comes first unless the host refuses
 * the call; one of the others follows. The body of the response follows a {@link Head}.
 */
public sealed interface ForwardReply {
    /** The host has taken the call and sends it to the endpoint now. */
    record Accepted() implements ForwardReply {}

    /**
     * The endpoint runs the call and has sent the head of its response.
     *
     * @param status the HTTP status code
     * @param headers the end-to-end headers
     */
    record Head(int status, Seq<ForwardedCall.Header> headers) implements ForwardReply {}

    /** The endpoint states that it has not run the call, because all of its slots are in use. */
    record Full() implements ForwardReply {}

    /** The address belongs to another endpoint, which has not run the call. */
    record Misdirected() implements ForwardReply {}

    /**
     * The host could not reach the endpoint either; no byte was sent there.
     *
     * @param reason the cause, for the log
     */
    record NotSent(String reason) implements ForwardReply {}

    /**
     * The host knows that it cannot reach the endpoint either, and has not tried again. The
     * endpoint may be down, or both hosts may be cut off from it.
     */
    record Unreachable() implements ForwardReply {}

    /**
     * The call was sent to the endpoint and may have run; no response to relay has come.
     *
     * @param reason the cause, for the log
     */
    record Unknown(String reason) implements ForwardReply {}

    /**
     * The host has not taken the call; no byte was sent to an endpoint.
     *
     * @param reason the cause, for the log
     */
    record Refused(String reason) implements ForwardReply {}
}
