package org.tamarackfold.endpoint.cost;

/**
 * Expected times of a call in milliseconds, at an idle endpoint of speed 1.
 *
 * @param total the time until the end of the response
 * @param deviation the mean deviation of that time
 * @param untilFirstEvent the part of the time until the first event of the response
 * @param learned whether samples stand behind it
 */
record CostEstimate(double total, double deviation, double untilFirstEvent, boolean learned) {
    CostEstimate plus(double millis) {
        return new CostEstimate(total + millis, deviation, untilFirstEvent + millis, learned);
    }
}
