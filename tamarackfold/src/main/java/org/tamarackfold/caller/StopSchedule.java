package org.tamarackfold.caller;

import java.time.Duration;
import org.tamarackfold.time.Durations;

/**
 * Decides in a planned stop of an entry host which calls are still sent to endpoints, when the
 * others get a final response, and when the connections are closed. Immutable. All times are in ns
 * of one monotonic clock.
 */
public final class StopSchedule {
    /** Part of the grace period that is reserved for the exit of the process. */
    private static final Duration PROCESS_EXIT_MARGIN = Duration.ofMillis(700);

    /** Time between the final responses and the closing of their connections. */
    private static final Duration FINAL_RESPONSE_MARGIN = Duration.ofMillis(200);

    /** Time without a new call after which a stopping host closes its connections. */
    private static final Duration QUIET_PERIOD = Duration.ofMillis(1_200);

    private final long addressExpiryNanos;
    private final long unrestrictedUntilNanos;
    private final long finalResponseNanos;
    private final long closeNanos;

    /**
     * Creates the schedule of one stop.
     *
     * @param requestedAtNanos when the stop was requested
     * @param grace the time from the request until the process is killed
     * @param addressLifetime how long callers may use the address of the host after the request
     */
    public StopSchedule(long requestedAtNanos, Duration grace, Duration addressLifetime) {
        Duration untilClose = Durations.max(Duration.ZERO, grace.minus(PROCESS_EXIT_MARGIN));
        Duration untilFinalResponse =
                Durations.max(Duration.ZERO, untilClose.minus(FINAL_RESPONSE_MARGIN));
        // In a grace that is short compared with the lifetime, later calls would have too little
        // time left.
        Duration unrestricted = Durations.min(addressLifetime, untilFinalResponse.dividedBy(2));
        addressExpiryNanos = requestedAtNanos + addressLifetime.toNanos();
        unrestrictedUntilNanos = requestedAtNanos + unrestricted.toNanos();
        finalResponseNanos = requestedAtNanos + untilFinalResponse.toNanos();
        closeNanos = requestedAtNanos + untilClose.toNanos();
    }

    /**
     * Returns whether a call may be sent to an endpoint now. While callers rightly use the address,
     * each call is admitted; afterwards only a call that is over by its own deadline before the
     * final responses. A caller that is refused can go to another host at once; one whose call is
     * ended does not know its outcome.
     *
     * @param admittedNanos when the call arrived; for a retry, the time of the retry
     * @param deadlineNanos when the call ends at the latest
     */
    public boolean maySend(long admittedNanos, long nowNanos, long deadlineNanos) {
        return nowNanos - finalResponseNanos < 0
                && (admittedNanos - unrestrictedUntilNanos < 0
                        || deadlineNanos - finalResponseNanos <= 0);
    }

    /** Returns when all calls still in progress get a final response. */
    public long finalResponseNanos() {
        return finalResponseNanos;
    }

    /** Returns when the connections are closed at the latest. */
    public long closeNanos() {
        return closeNanos;
    }

    /**
     * Returns when the connections of a host without calls in progress are closed, unless a call
     * arrives before.
     *
     * @param lastArrivalNanos when the last call arrived
     */
    public long quietNanos(long lastArrivalNanos) {
        long quietNanos = lastArrivalNanos + QUIET_PERIOD.toNanos();
        return quietNanos - addressExpiryNanos < 0 ? addressExpiryNanos : quietNanos;
    }
}
