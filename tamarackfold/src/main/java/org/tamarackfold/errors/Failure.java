package org.tamarackfold.errors;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * A failure with the step and the party at which it arose.
 *
 * @param code the cause
 * @param step the step
 * @param party the party at which the failure arose
 * @param fate what is known about the execution of the call
 * @param message a short sentence for people
 * @param retryAfter how long to wait before another attempt, when one makes sense
 */
public record Failure(
        FailureCode code,
        Step step,
        Party party,
        Fate fate,
        String message,
        Option<Duration> retryAfter) {

    /** Creates a failure of a call that did not run. */
    public static Failure notRun(FailureCode code, Step step, Party party, String message) {
        return new Failure(code, step, party, Fate.NOT_RUN, message, Option.none());
    }

    /** Creates a failure of a call that may have run. */
    public static Failure unknown(FailureCode code, Step step, Party party, String message) {
        return new Failure(code, step, party, Fate.UNKNOWN, message, Option.none());
    }

    /** Returns this failure with a time to wait before another attempt. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(code, step, party, fate, message, Option.of(delay));
    }

    /** Returns this failure with another fate. */
    public Failure withFate(Fate other) {
        return new Failure(code, step, party, other, message, retryAfter);
    }

    @Override
    public String toString() {
        return code + " at " + step + " (" + party.label() + ", " + fate + "): " + message;
    }
}
