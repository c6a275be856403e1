package org.tamarackfold.caller;

import org.tamarackfold.operator.Repeatability;
import org.tamarackfold.operator.Route;

/** Decides whether a call goes to another endpoint. */
public final class AttemptPolicy {
    /** Rejected or unsent attempts after which a call is refused; each costs a round trip. */
    private static final int MAXIMUM_REJECTIONS = 4;

    private static final int SERVER_ERROR = 500;

    private final Route route;
    private int mayHaveRun;
    private int rejections;

    /** Creates the policy of one call. */
    public AttemptPolicy(Route route) {
        this.route = route;
    }

    /** Returns the number of endpoints that may have run the call. */
    public int mayHaveRun() {
        return mayHaveRun;
    }

    /** Records the outcome of an attempt and decides what follows. */
    public NextStep after(AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Answered(int status) -> afterAnswer(status);
            case AttemptOutcome.Rejected(AttemptOutcome.Cause _) -> afterRejection();
            case AttemptOutcome.NotSent() -> afterRejection();
            case AttemptOutcome.Unknown() -> afterUnknown();
        };
    }

    private NextStep afterAnswer(int status) {
        mayHaveRun++;
        boolean retry =
                status >= SERVER_ERROR
                        && route.repeatability() == Repeatability.IDEMPOTENT
                        && mayHaveRun < route.maximumAttempts();
        return retry ? new NextStep.TryAnother() : new NextStep.Relay();
    }

    private NextStep afterRejection() {
        rejections++;
        if (rejections <= MAXIMUM_REJECTIONS) {
            return new NextStep.TryAnother();
        }
        return whenNoneLeft();
    }

    private NextStep afterUnknown() {
        mayHaveRun++;
        if (route.repeatability().mayRepeat() && mayHaveRun < route.maximumAttempts()) {
            return new NextStep.TryAnother();
        }
        return new NextStep.ReportUnknown();
    }

    /** Decides what follows when no endpoint is left to try. */
    public NextStep whenNoneLeft() {
        return mayHaveRun == 0 ? new NextStep.Refuse() : new NextStep.ReportUnknown();
    }
}
