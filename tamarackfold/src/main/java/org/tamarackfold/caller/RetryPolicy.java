package org.tamarackfold.caller;

import org.tamarackfold.operator.Repeatability;
import org.tamarackfold.operator.Route;

/** Decides whether a call goes to another endpoint. */
public final class RetryPolicy {
    /** Rejected or unsent attempts after which a call is refused; each costs a round trip. */
    private static final int MAXIMUM_REJECTIONS = 4;

    private static final int SERVER_ERROR = 500;

    private final Route route;
    private int possibleRuns;
    private int rejections;

    /** Creates the policy of one call. */
    public RetryPolicy(Route route) {
        this.route = route;
    }

    /** Returns the number of endpoints that may have run the call. */
    public int possibleRuns() {
        return possibleRuns;
    }

    /** Records the outcome of an attempt and decides what follows. */
    public RetryDecision after(AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Answered(int status) -> afterAnswer(status);
            case AttemptOutcome.Rejected(AttemptOutcome.Cause _) -> afterRejection();
            case AttemptOutcome.NotSent() -> afterRejection();
            case AttemptOutcome.Unknown() -> afterUnknown();
        };
    }

    private RetryDecision afterAnswer(int status) {
        possibleRuns++;
        boolean retry =
                status >= SERVER_ERROR
                        && route.repeatability() == Repeatability.IDEMPOTENT
                        && possibleRuns < route.maximumAttempts();
        return retry ? new RetryDecision.Retry() : new RetryDecision.RelayResponse();
    }

    private RetryDecision afterRejection() {
        rejections++;
        if (rejections <= MAXIMUM_REJECTIONS) {
            return new RetryDecision.Retry();
        }
        return whenNoEndpointLeft();
    }

    private RetryDecision afterUnknown() {
        possibleRuns++;
        if (route.repeatability().mayRepeat() && possibleRuns < route.maximumAttempts()) {
            return new RetryDecision.Retry();
        }
        return new RetryDecision.ReportUnknown();
    }

    /** Decides what follows when no endpoint is left to try. */
    public RetryDecision whenNoEndpointLeft() {
        return possibleRuns == 0 ? new RetryDecision.Refuse() : new RetryDecision.ReportUnknown();
    }
}
