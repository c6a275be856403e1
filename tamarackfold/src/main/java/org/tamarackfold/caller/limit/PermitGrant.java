package org.tamarackfold.caller.limit;

import java.time.Duration;
import org.tamarackfold.id.CustomerName;

/**
 * The reply to a demand.
 *
 * @param customer the customer whose calls get the permits
 * @param firstTurns the permits for waiting first turns
 * @param otherCalls the permits for other waiting calls, and those for expected calls
 * @param retryAfter the time until the next permit is due for calls that got none
 * @param owner whether the host grants as the owner; otherwise another host may grant more
 * @param remaining the permits that are left
 */
public record PermitGrant(
        CustomerName customer,
        int firstTurns,
        int otherCalls,
        Duration retryAfter,
        boolean owner,
        double remaining) {}
