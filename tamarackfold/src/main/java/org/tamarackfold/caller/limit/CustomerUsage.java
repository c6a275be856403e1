package org.tamarackfold.caller.limit;

import org.tamarackfold.id.CustomerName;
import org.tamarackfold.operator.CallLimit;

/**
 * What a host knows of the calls of one customer with a limit.
 *
 * @param customer the customer
 * @param limit its limit
 * @param callsPerSecond its calls at this host, allowed or refused
 * @param allowed the calls that got a permit
 * @param refused the calls that did not
 */
public record CustomerUsage(
        CustomerName customer,
        CallLimit limit,
        double callsPerSecond,
        long allowed,
        long refused) {}
