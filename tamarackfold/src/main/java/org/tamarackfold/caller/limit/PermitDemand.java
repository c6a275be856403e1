package org.tamarackfold.caller.limit;

import org.tamarackfold.id.CustomerName;
import org.tamarackfold.operator.CallLimit;

/**
 * The permits that a host asks for.
 *
 * @param customer the customer whose calls need them
 * @param firstTurns the waiting calls that begin a program
 * @param otherCalls all other waiting calls
 * @param expectedCalls the calls that are expected soon
 * @param limit the limit in the release of the host
 */
public record PermitDemand(
        CustomerName customer, int firstTurns, int otherCalls, int expectedCalls, CallLimit limit) {
    /** Rejects negative numbers with an {@link IllegalArgumentException}. */
    public PermitDemand {
        if (firstTurns < 0 || otherCalls < 0 || expectedCalls < 0) {
            throw new IllegalArgumentException("negative number of calls for " + customer);
        }
    }
}
