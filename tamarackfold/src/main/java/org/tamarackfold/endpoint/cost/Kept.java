package org.tamarackfold.endpoint.cost;

/** What an endpoint is expected to have kept of the prompt of a call. */
public enum Kept {
    /** The history of the program, whose last turn ran there. */
    HISTORY,

    /** The part of the prompt that other programs have in common with it. */
    SHARED_PART,

    /** Nothing that is known of. */
    NOTHING
}
