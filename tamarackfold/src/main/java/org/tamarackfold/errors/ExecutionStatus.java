package org.tamarackfold.errors;

/** Whether a failed call has run. */
public enum ExecutionStatus {
    /** The call did not run, and this attempt will not run it. */
    NOT_RUN,
    /** The call may have run, or this attempt may still run it. */
    UNKNOWN,
    /** The call ran. */
    RAN
}
