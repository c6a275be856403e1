package org.tamarackfold.daemon.soak;

import org.tamarackfold.id.CustomerName;

/**
 * A customer of a run.
 *
 * @param rate the limit of calls a second; 0 for none
 */
public record Customer(CustomerName name, double rate, double burst, Demand demand) {
    boolean hasLimit() {
        return rate > 0;
    }

    /** Returns whether the customer sends no more than its limit and its share of the endpoints. */
    boolean isSteady() {
        return demand instanceof Demand.Steady;
    }
}
