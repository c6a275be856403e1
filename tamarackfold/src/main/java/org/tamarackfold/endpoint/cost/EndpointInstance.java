package org.tamarackfold.endpoint.cost;

import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/**
 * One start of an endpoint, as far as placement is concerned with it.
 *
 * @param slots the number of calls that it can run concurrently
 * @param startedAtMillis the start of its process; another one means that it has lost what it kept
 */
public record EndpointInstance(
        EndpointId id, ServiceName service, int slots, long startedAtMillis) {}
