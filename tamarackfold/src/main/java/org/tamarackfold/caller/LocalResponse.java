package org.tamarackfold.caller;

import java.time.Duration;
import org.tamarackfold.id.RequestFingerprint;

/** A response that the entry host generates itself, because it relays none from an endpoint. */
public sealed interface LocalResponse {
    /**
     * The call has not run and will not run; the caller may retry it.
     *
     * @param retryAfter the delay after which the caller may retry
     * @param reason the cause, for the log
     */
    record Refused(Duration retryAfter, String reason) implements LocalResponse {}

    /**
     * The customer of the call is at its limit; the call has not run and will not run.
     *
     * @param retryAfter the delay after which the caller may retry
     * @param reason the cause, for the log
     */
    record OverLimit(Duration retryAfter, String reason) implements LocalResponse {}

    /**
     * The request has crashed endpoints, and the call is sent to none; it has not run and will not
     * run.
     *
     * @param retryAfter the time until one copy of the request is tried again
     * @param request what identifies the request
     */
    record Quarantined(Duration retryAfter, RequestFingerprint request) implements LocalResponse {}

    /**
     * The call may have run; its outcome is unknown.
     *
     * @param reason the cause, for the log
     */
    record Unknown(String reason) implements LocalResponse {}

    /** The deadline of the call has passed after it was sent to an endpoint; it may have run. */
    record TimedOut() implements LocalResponse {}

    /** No route of the release matches the host and path of the call. */
    record NoRoute() implements LocalResponse {}

    /**
     * The call needs a key of a customer and has no valid one; it has not run.
     *
     * @param cause what is wrong with the key, for the log
     */
    record Unauthorized(CallerIdentity.Cause cause) implements LocalResponse {}

    /** The parent turn of the call is not in the turn history. */
    record NoSuchTurn() implements LocalResponse {}

    /** The remaining token budget of the program does not cover the turn, which has not run. */
    record BudgetSpent() implements LocalResponse {}

    /**
     * The request violates the protocol.
     *
     * @param reason the violation, for the log
     */
    record Malformed(String reason) implements LocalResponse {}

    /** The rest of the request body has not arrived in time; the call has not run and will not. */
    record BodyMissing() implements LocalResponse {}

    /** The request body exceeds the limit that the release sets. */
    record TooLarge() implements LocalResponse {}

    /** Returns the name of this response in logs, metric labels and the response body. */
    default String label() {
        return switch (this) {
            case Refused(Duration _, String _) -> "refused";
            case OverLimit(Duration _, String _) -> "over_limit";
            case Quarantined(Duration _, RequestFingerprint _) -> "quarantined";
            case Unknown(String _) -> "unknown";
            case TimedOut() -> "timed_out";
            case NoRoute() -> "no_route";
            case Unauthorized(CallerIdentity.Cause _) -> "unauthorized";
            case NoSuchTurn() -> "no_such_turn";
            case BudgetSpent() -> "budget_spent";
            case Malformed(String _) -> "malformed";
            case BodyMissing() -> "body_missing";
            case TooLarge() -> "too_large";
        };
    }
}
