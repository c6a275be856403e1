package org.tamarackfold.endpoint;

/** What the end of a call showed of its endpoint. */
public sealed interface Observation {
    /**
     * The endpoint answered.
     *
     * @param millis the time to the first byte of the answer, in milliseconds
     */
    record Answered(double millis) implements Observation {}

    /** The endpoint has no place for another call. */
    record Full() implements Observation {}

    /** The endpoint could not be reached or broke off its answer. */
    record Failed() implements Observation {}

    /** The call ended for a reason that says nothing of the endpoint. */
    record Nothing() implements Observation {}
}
