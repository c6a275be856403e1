package org.tamarackfold.daemon.soak;

/** How the callers of a customer make their calls. */
public sealed interface Demand {
    /** One call after another, with pauses. */
    record Steady() implements Demand {}

    /** Large bodies and streams, which are read slowly. */
    record SlowReading() implements Demand {}

    /** Several times the usual load for some seconds, then the usual load. */
    record Surges() implements Demand {}

    /**
     * A constant load, whether calls are served or refused.
     *
     * @param intervalMillis the time between the calls of one caller
     * @param runMillis how long an endpoint runs a call
     */
    record Flood(int intervalMillis, int runMillis) implements Demand {}
}
