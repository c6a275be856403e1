package org.tamarackfold.endpoint.share;

/**
 * The load of all hosts on the eligible endpoints of a service.
 *
 * @param inFlight the streams in flight, also those that wait at an endpoint
 * @param remainingMillis their expected remaining work, at speed 1
 * @param speed the mean speed of the endpoints
 */
public record ServiceLoad(int inFlight, double remainingMillis, double speed) {}
