package org.tamarackfold.caller;

import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.operator.Route;

/**
 * Decides after each attempt whether a call is retried at another endpoint. An instance belongs to
 * one call and is not thread-safe.
 */
public final class RetryPolicy {
    /** Maximum number of retries after rejected or unsent attempts; each costs a round trip. */
    private static final int MAXIMUM_REJECTIONS = 4;

    /** Maximum number of retries after other hosts did not take the call. */
    private static final int MAXIMUM_FORWARDING_FAILURES = 3;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final Route route;
    private int possibleRuns;
    private int rejections;
    private int notForwarded;

    /**
     * Creates the policy of one call.
     *
     * @param route the route of the call, which limits its retries
     */
    public RetryPolicy(Route route) {
        this.route = route;
    }

    /** Returns the number of attempts in which an endpoint ran or may have run the call. */
    public int possibleRuns() {
        return possibleRuns;
    }

    /** Counts an attempt with this outcome and returns what to do next. */
    public RetryDecision after(AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Answered(int status) -> afterResponse(status);
            case AttemptOutcome.Rejected(AttemptOutcome.Cause _) -> afterRejection();
            case AttemptOutcome.NotSent() -> afterRejection();
            case AttemptOutcome.NotForwarded() -> afterNotForwarded();
            case AttemptOutcome.Unknown() -> afterUnknown();
        };
    }

    private RetryDecision afterResponse(int status) {
        possibleRuns++;
        boolean retry =
                status >= FIRST_SERVER_ERROR_STATUS
                        && route.callSemantics() == CallSemantics.IDEMPOTENT
                        && possibleRuns < route.maximumAttempts();
        return retry ? new RetryDecision.Retry() : new RetryDecision.RelayResponse();
    }

    private RetryDecision afterRejection() {
        rejections++;
        if (rejections <= MAXIMUM_REJECTIONS) {
            return new RetryDecision.Retry();
        }
        return whenNoFurtherAttempt();
    }

    private RetryDecision afterNotForwarded() {
        notForwarded++;
        return notForwarded <= MAXIMUM_FORWARDING_FAILURES
                ? new RetryDecision.Retry()
                : whenNoFurtherAttempt();
    }

    /** Returns whether the call could be retried if its attempt in progress ended unanswered. */
    public boolean mayRetryUnanswered() {
        return route.callSemantics().isRetryable() && possibleRuns + 1 < route.maximumAttempts();
    }

    private RetryDecision afterUnknown() {
        boolean mayRetry = mayRetryUnanswered();
        possibleRuns++;
        if (mayRetry) {
            return new RetryDecision.Retry();
        }
        return new RetryDecision.ReportUnknown();
    }

    /**
     * Returns what to do when no further attempt is made, because no endpoint is eligible or the
     * limit of rejections is exceeded: refuse the call only if no endpoint may have run it.
     */
    public RetryDecision whenNoFurtherAttempt() {
        return possibleRuns == 0 ? new RetryDecision.Refuse() : new RetryDecision.ReportUnknown();
    }
}
