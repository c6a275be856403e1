package org.tamarackfold.endpoint.share;

import io.vavr.control.Option;
import java.util.Map;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.operator.Customers;

/**
 * What a host knows of the capacity of a service and of those who share it.
 *
 * @param slotsByEndpoint the slots of the eligible endpoints, from their registrations
 * @param customers the customers of the release; none without authentication
 */
public record ServiceCapacity(
        Map<EndpointId, Integer> slotsByEndpoint, Option<Customers> customers) {
    /** Returns the slots of all eligible endpoints. */
    int slots() {
        return slotsByEndpoint.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns whether calls may be sent to an endpoint; others are draining or have left. */
    public boolean isEligible(EndpointId endpoint) {
        return slotsByEndpoint.containsKey(endpoint);
    }
}
