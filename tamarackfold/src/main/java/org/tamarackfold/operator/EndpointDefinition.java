package org.tamarackfold.operator;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/**
 * An endpoint as the release defines it.
 *
 * @param endpoint the endpoint
 * @param service the service it belongs to
 * @param zone its availability zone
 * @param address where it listens
 * @param slots how many calls it runs at a time
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EndpointDefinition(
        EndpointId endpoint,
        ServiceName service,
        AvailabilityZone zone,
        Address address,
        int slots,
        boolean checksFencing) {}
