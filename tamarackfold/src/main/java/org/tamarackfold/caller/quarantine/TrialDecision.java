package org.tamarackfold.caller.quarantine;

import java.time.Duration;

/** Whether a copy of a suspected request may be sent. */
public sealed interface TrialDecision {
    /** The copy may be sent now. */
    record Granted() implements TrialDecision {}

    /**
     * Another copy is under way, or an endpoint has just ended under one.
     *
     * @param delay the time after which to ask again
     */
    record Later(Duration delay) implements TrialDecision {}

    /**
     * The request crashes endpoints.
     *
     * @param remaining the time until it is tried again
     */
    record Denied(Duration remaining) implements TrialDecision {}
}
