package org.tamarackfold.operator;

import org.tamarackfold.id.ServiceName;

/**
 * A service that answers a share of the calls of a route.
 *
 * @param service the service
 * @param weight its share relative to the other services of the route
 */
public record WeightedService(ServiceName service, double weight) {}
