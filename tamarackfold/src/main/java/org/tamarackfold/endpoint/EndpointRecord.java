package org.tamarackfold.endpoint;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/**
 * What an endpoint has registered about itself.
 *
 * @param id the endpoint
 * @param service the service that it runs
 * @param address where it accepts calls
 * @param zone its availability zone
 * @param slots the calls that it runs at once
 * @param leaving whether it has announced that it shuts down
 * @param startedAtMillis the time of its start, in Unix milliseconds; 0 when unknown
 */
public record EndpointRecord(
        EndpointId id,
        ServiceName service,
        Address address,
        AvailabilityZone zone,
        int slots,
        boolean leaving,
        long startedAtMillis) {}
