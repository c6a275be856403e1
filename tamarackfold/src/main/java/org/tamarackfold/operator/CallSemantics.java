package org.tamarackfold.operator;

/** Whether the calls of a route may run more than once, and whether they are event streams. */
public enum CallSemantics {
    /** May run more than once; not a stream. */
    IDEMPOTENT,
    /** Runs at most once; not a stream. */
    AT_MOST_ONCE,
    /** An event stream that may be resumed at another endpoint. */
    RESUMABLE_STREAM,
    /** An event stream that runs at most once. */
    AT_MOST_ONCE_STREAM;

    /** Returns whether the response is an event stream. */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == AT_MOST_ONCE_STREAM;
    }

    /** Returns whether a call may be retried although an earlier attempt may have run. */
    public boolean isRetryable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
