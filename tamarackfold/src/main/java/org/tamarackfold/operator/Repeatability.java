package org.tamarackfold.operator;

/** How often the calls of a route may run. */
public enum Repeatability {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each call. */
    AT_MOST_ONCE,
    /** An event stream that may be continued at another endpoint. */
    RESUMABLE_STREAM,
    /** An event stream that runs at most once for each call. */
    AT_MOST_ONCE_STREAM;

    /** Tells whether the answer is an event stream. */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == AT_MOST_ONCE_STREAM;
    }

    /** Tells whether a call that may have run may be sent again. */
    public boolean mayRepeat() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
