package org.tamarackfold.endpoint.share;

import io.vavr.collection.Vector;

/**
 * The customers over their share of a service, in the totals of load.
 *
 * @param overShare the customers, the largest ratios first; empty while the service is not short
 * @param drainMillis the time in which the work in flight of the service would be done
 */
public record ShareTotals(Vector<OverShare> overShare, double drainMillis) {
    /** The totals of a service that is not short. */
    public static final ShareTotals NONE = new ShareTotals(Vector.empty(), 0);
}
