package org.tamarackfold.endpoint;

import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/**
 * What is asked of placement.
 *
 * @param service the service
 * @param affinity hashed into a preference among equally loaded endpoints; the same value prefers
 *     the same endpoint
 * @param excluded the endpoints that the call has tried
 */
public record PlacementRequest(
        ServiceName service, Option<String> affinity, Set<EndpointId> excluded) {
    /** Returns this request with one more endpoint excluded. */
    public PlacementRequest without(EndpointId endpoint) {
        return new PlacementRequest(service, affinity, excluded.add(endpoint));
    }
}
