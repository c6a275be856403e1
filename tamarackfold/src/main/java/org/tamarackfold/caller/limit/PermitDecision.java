package org.tamarackfold.caller.limit;

import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;

/** Whether a call of a customer with a limit may be sent. */
public sealed interface PermitDecision {
    /**
     * The call may be sent.
     *
     * @param permit used when the call is sent, else given back
     */
    record Granted(Permit permit) implements PermitDecision {}

    /**
     * The customer is at its limit.
     *
     * @param retryAfter the time until the next permit, before it is spread over callers
     * @param remaining the permits left at the host that replied
     * @param repliedBy the host that replied; none if no host did
     * @param replyAge the time since the request that it replied to was sent
     */
    record Refused(
            Duration retryAfter, double remaining, Option<HostId> repliedBy, Duration replyAge)
            implements PermitDecision {}

    /**
     * The right to send one attempt.
     *
     * @param customer the customer to whose limit the attempt counts
     * @param expiresAtNanos when the permit counts as used
     */
    record Permit(CustomerName customer, long expiresAtNanos) {
        /** Returns whether the permit may still be used. */
        public boolean isValid(long nowNanos) {
            return expiresAtNanos - nowNanos > 0;
        }
    }
}
