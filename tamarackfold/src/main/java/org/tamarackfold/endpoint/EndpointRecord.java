package org.tamarackfold.endpoint;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;

/**
 * Registration of an endpoint.
 *
 * @param service the service that the endpoint belongs to
 * @param address the address at which it accepts calls
 * @param slots the number of calls that it can run concurrently
 * @param draining whether it is draining: it finishes its calls and accepts no new ones
 * @param startedAtMillis the start of its process, in milliseconds since the Unix epoch; 0 when
 *     unknown
 * @param version the software that it runs; endpoints of several versions may serve beside each
 *     other
 */
public record EndpointRecord(
        EndpointId id,
        ServiceName service,
        Address address,
        AvailabilityZone zone,
        int slots,
        boolean draining,
        long startedAtMillis,
        SoftwareVersion version) {}
