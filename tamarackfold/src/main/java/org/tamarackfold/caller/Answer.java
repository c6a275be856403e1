package org.tamarackfold.caller;

import java.time.Duration;

/** An answer of the system's own, where no endpoint has answered. */
public sealed interface Answer {
    /**
     * The call has not run and will not run; the caller may come back.
     *
     * @param retryAfter when to come back
     * @param reason for logs and the caller
     */
    record Refused(Duration retryAfter, String reason) implements Answer {}

    /**
     * The call may have run; its outcome is unknown.
     *
     * @param reason for logs and the caller
     */
    record Unknown(String reason) implements Answer {}

    /** The time of the call is used up; it may have run. */
    record TimedOut() implements Answer {}

    /** No route matches the call. */
    record NoRoute() implements Answer {}

    /** The turn that the call continues does not exist. */
    record NoSuchTurn() implements Answer {}

    /** The token budget of the program is spent; the turn has not run. */
    record BudgetSpent() implements Answer {}

    /**
     * The call violates the protocol.
     *
     * @param reason for logs and the caller
     */
    record Malformed(String reason) implements Answer {}

    /** The body exceeds the limit of the release. */
    record TooLarge() implements Answer {}

    /** Returns a short name for logs and metrics. */
    default String label() {
        return switch (this) {
            case Refused(Duration _, String _) -> "refused";
            case Unknown(String _) -> "unknown";
            case TimedOut() -> "timed_out";
            case NoRoute() -> "no_route";
            case NoSuchTurn() -> "no_such_turn";
            case BudgetSpent() -> "budget_spent";
            case Malformed(String _) -> "malformed";
            case TooLarge() -> "too_large";
        };
    }
}
