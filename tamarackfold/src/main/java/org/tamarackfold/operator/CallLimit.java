package org.tamarackfold.operator;

/**
 * The largest number of calls of a customer that run at endpoints, counted over all hosts.
 *
 * @param callsPerSecond the sustained rate, above 0
 * @param burst the calls that may run at once after a pause, 0 or more
 */
public record CallLimit(double callsPerSecond, double burst) {
    /** Upper bound of both values; larger ones are errors of the operator. */
    private static final double MAXIMUM = 1e9;

    /** Rejects values out of range with an {@link IllegalArgumentException}. */
    public CallLimit {
        if (!(callsPerSecond > 0 && callsPerSecond <= MAXIMUM)) {
            throw new IllegalArgumentException("the rate is out of range: " + callsPerSecond);
        }
        if (!(burst >= 0 && burst <= MAXIMUM)) {
            throw new IllegalArgumentException("the burst is out of range: " + burst);
        }
    }
}
