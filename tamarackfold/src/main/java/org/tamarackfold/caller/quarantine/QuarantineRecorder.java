package org.tamarackfold.caller.quarantine;

/** Keeps what must outlast a restart of all hosts at once. */
public interface QuarantineRecorder {
    /** Called when this host has found that a request crashes endpoints. */
    void record(SuspicionReport report);

    /** Called when a whole response to a request was seen. */
    void remove(SuspicionKey key);
}
