package org.tamarackfold.endpoint;

import org.tamarackfold.errors.Fate;
import org.tamarackfold.id.DispatchId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ProgramId;

/** Result of an order to an endpoint. */
public sealed interface EndpointEvent {
    /**
     * The call has ended with its whole answer, checked by length and digest.
     *
     * @param dispatch the order
     * @param text the answer
     * @param spentTokens what the call spent, in tokens
     * @param promptTokens tokens of the prompt
     * @param cachedTokens tokens of the prompt that were cached
     * @param firstTokenMillis from sending to the first token, in milliseconds
     */
    record Completed(
            DispatchId dispatch,
            String text,
            long spentTokens,
            long promptTokens,
            long cachedTokens,
            long firstTokenMillis)
            implements EndpointEvent {}

    /**
     * The call has ended without an answer.
     *
     * @param dispatch the order
     * @param cause how it ended
     * @param fate {@code NOT_RUN} only when the endpoint surely did not and will not run the call
     * @param message a short sentence
     */
    record Failed(DispatchId dispatch, Cause cause, Fate fate, String message)
            implements EndpointEvent {}

    /**
     * The endpoint has confirmed that it holds no memory for a program.
     *
     * @param endpoint the endpoint
     * @param program the program
     */
    record Released(EndpointId endpoint, ProgramId program) implements EndpointEvent {}

    /** How a call without an answer ended. */
    enum Cause {
        /** The connection could not be made. */
        CONNECTION_REFUSED,
        /** The connection was lost, or made no progress for too long. */
        CONNECTION_LOST,
        /** The endpoint refused because it is leaving. */
        LEAVING,
        /** The endpoint refused because it is full. */
        BUSY,
        /** The endpoint answered with an error. */
        ERROR
    }
}
