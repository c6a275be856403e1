package org.tamarackfold.peer;

import org.tamarackfold.id.CallId;

/** How a call relates to the origins of event streams, for its reservation. */
public sealed interface StreamStart {
    /** No origin is recorded or read. */
    record Untracked() implements StreamStart {}

    /**
     * The call begins a stream that its caller may resume later.
     *
     * @param origin the origin to record with the reservation
     */
    record Begins(StreamOrigin origin) implements StreamStart {}

    /**
     * The call resumes a stream.
     *
     * @param firstCall the call that brought the first event; its origin is read
     */
    record Resumes(CallId firstCall) implements StreamStart {}
}
