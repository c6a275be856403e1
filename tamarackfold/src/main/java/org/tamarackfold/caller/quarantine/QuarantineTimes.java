package org.tamarackfold.caller.quarantine;

import java.time.Duration;

/** The times of the quarantine. */
public final class QuarantineTimes {
    /** For how long a request is rejected; then one copy of it is tried. */
    public static final Duration QUARANTINE = Duration.ofMinutes(10);

    /** For how long a request that was quarantined is tried by one copy at a time. */
    static final Duration MEMORY = Duration.ofHours(1);

    /** For how long a request is suspected after the last endpoint that ended under it. */
    static final Duration SUSPICION = Duration.ofMinutes(10);

    /** For how long a whole response is remembered against older reports. */
    static final Duration CLEARANCE = Duration.ofMinutes(1);

    /**
     * Time without a further end before a decision: until then, the ends that other hosts have seen
     * may be on their way.
     */
    static final Duration SETTLING = Duration.ofSeconds(1);

    /** Time without a try after the first end, in which reports of it reach the other hosts. */
    static final Duration FIRST_HOLD = Duration.ofMillis(300);

    /**
     * Time without a try after further ends, in which endpoints that have ended mostly start again;
     * longer than {@link #SETTLING}.
     */
    static final Duration LATER_HOLD = Duration.ofSeconds(3);

    private QuarantineTimes() {}
}
