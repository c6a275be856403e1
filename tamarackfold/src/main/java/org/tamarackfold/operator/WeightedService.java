package org.tamarackfold.operator;

import org.tamarackfold.id.ServiceName;

/**
 * A service that receives a share of the calls of a route.
 *
 * @param weight the share, relative to the sum of the weights of the route
 */
public record WeightedService(ServiceName service, double weight) {}
