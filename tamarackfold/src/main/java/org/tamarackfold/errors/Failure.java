package org.tamarackfold.errors;

/**
 * Failure of a call.
 *
 * @param code the cause, for decisions in code
 * @param step the operation that failed
 * @param party the party that the call was sent to
 * @param executionStatus whether the call has run
 * @param message details for logs
 */
public record Failure(
        FailureCode code, Step step, Party party, ExecutionStatus executionStatus, String message) {

    /** Creates the failure of a call that did not run. */
    public static Failure notRun(FailureCode code, Step step, Party party, String message) {
        return new Failure(code, step, party, ExecutionStatus.NOT_RUN, message);
    }

    /** Creates the failure of a call that may have run. */
    public static Failure unknown(FailureCode code, Step step, Party party, String message) {
        return new Failure(code, step, party, ExecutionStatus.UNKNOWN, message);
    }

    @Override
    public String toString() {
        return code
                + " at "
                + step
                + " ("
                + party.label()
                + ", "
                + executionStatus
                + "): "
                + message;
    }
}
