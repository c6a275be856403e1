package org.tamarackfold.endpoint.cost;

import org.tamarackfold.id.EndpointId;

/**
 * What one host, or all hosts together, know of the load of an endpoint.
 *
 * @param startedAtMillis the start of the endpoint that this is about
 * @param remainingMillis the expected remaining work of the calls in flight, at speed 1
 * @param speed in a report, the mean of the speed samples since the last one; in totals, the speed
 *     learned from the samples of all hosts
 * @param speedSamples the number of those samples
 */
public record EndpointReport(
        EndpointId endpoint,
        long startedAtMillis,
        double remainingMillis,
        int inFlight,
        double speed,
        int speedSamples) {}
