package org.tamarackfold.endpoint;

/** What one call revealed about the health of its endpoint. */
public sealed interface Observation {
    /**
     * The endpoint answered; ends its back-off.
     *
     * @param millis the time to the first byte of the answer, in milliseconds
     */
    record Answered(double millis) implements Observation {}

    /** The endpoint rejected the call, as a rule because all of its slots are in use. */
    record Full() implements Observation {}

    /** The endpoint could not be reached, or failed before the head of its answer arrived. */
    record Failed() implements Observation {}

    /** The call ended for a reason unrelated to the health of the endpoint. */
    record Nothing() implements Observation {}
}
