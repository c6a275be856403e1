package org.tamarackfold.daemon.soak;

/** A promise that the soak checks. */
public enum Rule {
    /** A call that may run once has run more than once. */
    TWICE,
    /** A call that was answered as not run has run. */
    REFUSED,
    /** An answer belongs to another call, or differs from what the endpoint sent. */
    MIXED,
    /** A request at an endpoint differs from the caller's, or its history is wrong. */
    ALTERED,
    /** A stream has a gap, a repeated event, or events of two runs or software versions. */
    ORDER,
    /** A call that was read ends without an answer, or a turn that was answered is unknown. */
    LOST,
    /** The turns of a program were handed more tokens than its budget. */
    BUDGET,
    /** A draining endpoint received a new call. */
    DRAIN,
    /** A proper call was answered with a client error. */
    DENIED,
    /** Too few calls were served after the last fault. */
    RECOVER,
    /** A process ended by itself. */
    ENDED
}
