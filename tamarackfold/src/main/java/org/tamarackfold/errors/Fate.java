package org.tamarackfold.errors;

/** Whether a failed call has been executed. */
public enum Fate {
    /** The call was not executed, and this attempt will not execute it. */
    NOT_RUN,
    /** The call may have been executed, or this attempt may still execute it. */
    UNKNOWN,
    /** The call was executed. */
    RAN
}
