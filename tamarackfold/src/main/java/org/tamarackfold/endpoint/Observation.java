package org.tamarackfold.endpoint;

/** What one attempt of a call showed about the health of its endpoint. */
public sealed interface Observation {
    /**
     * The endpoint sent the head of a response, of any status; ends its back-off.
     *
     * @param latencyMillis the time from sending the call to the head of the response
     */
    record Answered(double latencyMillis) implements Observation {}

    /** The endpoint rejected the call, usually because all of its slots are in use. */
    record Rejected() implements Observation {}

    /** The endpoint could not be reached, or failed before the head of its response arrived. */
    record Failed() implements Observation {}

    /** The call ended for a reason unrelated to the health of the endpoint. */
    record Inconclusive() implements Observation {}
}
