package org.tamarackfold.caller;

import java.time.Duration;

/** An answer of the system's own, where no endpoint has answered. */
public sealed interface LocalResponse {
    /**
     * The call has not run and will not run; the caller may come back.
     *
     * @param retryAfter when to come back
     * @param reason for logs and the caller
     */
    record Refused(Duration retryAfter, String reason) implements LocalResponse {}

    /**
     * The call may have run; its outcome is unknown.
     *
     * @param reason for logs and the caller
     */
    record Unknown(String reason) implements LocalResponse {}

    /** The time of the call is used up; it may have run. */
    record TimedOut() implements LocalResponse {}

    /** No route matches the call. */
    record NoRoute() implements LocalResponse {}

    /** The turn that the call continues does not exist. */
    record NoSuchTurn() implements LocalResponse {}

    /** The token budget of the program is spent; the turn has not run. */
    record BudgetSpent() implements LocalResponse {}

    /**
     * The call violates the protocol.
     *
     * @param reason for logs and the caller
     */
    record Malformed(String reason) implements LocalResponse {}

    /** The body exceeds the limit of the release. */
    record TooLarge() implements LocalResponse {}

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
