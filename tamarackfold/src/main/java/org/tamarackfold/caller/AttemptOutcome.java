package org.tamarackfold.caller;

/**
 * The outcome of sending a call to one endpoint. All outcomes but Answered occur only before the
 * response to the caller has started, so that the call can still be retried. The names of Rejected,
 * NotSent, NotForwarded and Unknown are metric labels and appear in the log.
 */
public sealed interface AttemptOutcome {
    /**
     * The endpoint has sent a complete response.
     *
     * @param status the HTTP status code
     */
    record Answered(int status) implements AttemptOutcome {}

    /**
     * The endpoint states that it has not run the call.
     *
     * @param cause why the endpoint rejected it
     */
    record Rejected(Cause cause) implements AttemptOutcome {}

    /** No byte of the call was sent to the endpoint. */
    record NotSent() implements AttemptOutcome {}

    /**
     * The host that was to forward the call has not taken it. Says nothing about the endpoint, to
     * which no byte was sent.
     */
    record NotForwarded() implements AttemptOutcome {}

    /** The call was sent and may have run, but no complete response has arrived. */
    record Unknown() implements AttemptOutcome {}

    /** Why an endpoint rejects a call. */
    enum Cause {
        /** All slots of the endpoint are in use, or it is about to shut down. */
        FULL,
        /** The address now belongs to another endpoint than the one that the call names. */
        MISDIRECTED
    }
}
