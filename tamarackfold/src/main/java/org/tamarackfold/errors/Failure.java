package org.tamarackfold.errors;

/**
 * A failure with the step and the party at which it arose.
 *
 * @param code the cause
 * @param step the step
 * @param party the party at which the failure arose
 * @param fate what is known about the execution of the call
 * @param message a short sentence for people
 */
public record Failure(FailureCode code, Step step, Party party, Fate fate, String message) {

    /** Creates a failure of a call that did not run. */
    public static Failure notRun(FailureCode code, Step step, Party party, String message) {
        return new Failure(code, step, party, Fate.NOT_RUN, message);
    }

    /** Creates a failure of a call that may have run. */
    public static Failure unknown(FailureCode code, Step step, Party party, String message) {
        return new Failure(code, step, party, Fate.UNKNOWN, message);
    }

    @Override
    public String toString() {
        return code + " at " + step + " (" + party.label() + ", " + fate + "): " + message;
    }
}
