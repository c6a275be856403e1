package org.tamarackfold.errors;

/** What is known about the execution of a call that has no answer. */
public enum Fate {
    /** The call did not run and will not run under this attempt. */
    NOT_RUN,
    /** The call may have run. */
    UNKNOWN,
    /** The call ran. */
    RAN
}
