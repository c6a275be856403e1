package org.tamarackfold.caller;

/** How the attempt to run a call at one endpoint ended, before anything reached the caller. */
public sealed interface AttemptOutcome {
    /**
     * The endpoint has answered.
     *
     * @param status the status code
     */
    record Answered(int status) implements AttemptOutcome {}

    /**
     * The endpoint states that it has not run the call.
     *
     * @param cause why
     */
    record Rejected(Cause cause) implements AttemptOutcome {}

    /** No byte of the call reached the endpoint. */
    record NotSent() implements AttemptOutcome {}

    /** The call was sent and may have run. */
    record Unknown() implements AttemptOutcome {}

    /** Why an endpoint rejects a call. */
    enum Cause {
        /** No place, or it is about to shut down. */
        FULL,
        /** Another endpoint has taken over the address. */
        MISDIRECTED
    }
}
