package org.tamarackfold.errors;

/** Carries a {@link Failure} through code that throws. */
public final class FailureException extends Exception {
    private final transient Failure failure;

    /** Creates an exception for a failure. */
    public FailureException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /** Returns the failure. */
    public Failure failure() {
        return failure;
    }
}
