package org.tamarackfold.endpoint.share;

import org.tamarackfold.id.CustomerName;

/**
 * A customer whose work in flight exceeds its share of a service that is short of capacity.
 *
 * @param ratio its work over its share
 */
public record OverShare(CustomerName customer, double ratio) {
    /** Ratio above which a customer counts as over its share. */
    static final double MINIMUM_RATIO = 1.5;

    /** Ratio above which first turns of the customer are refused. */
    static final double REFUSED_RATIO = 3;

    /**
     * Largest probability of a refusal: at least one first turn in four is admitted, so that no
     * customer is starved.
     */
    private static final double MAXIMUM_REFUSED_PART = 0.75;

    /** Returns by how much the order of a stream of the customer is raised. */
    int orderIncrease() {
        return ratio > REFUSED_RATIO ? 2 : 1;
    }

    /** Returns the probability with which a first turn of the customer is refused. */
    double refusedPart() {
        return Math.min(MAXIMUM_REFUSED_PART, Math.max(0, 1 - REFUSED_RATIO / ratio));
    }
}
