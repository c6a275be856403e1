package org.tamarackfold.endpoint.share;

import org.tamarackfold.id.CustomerName;

/**
 * The streams in flight of a customer.
 *
 * @param remainingMillis their expected remaining work, at speed 1
 */
public record CustomerWork(CustomerName customer, double remainingMillis) {}
