package org.tamarackfold.endpoint;

import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;

/**
 * Criteria for the selection of an endpoint.
 *
 * @param service the service that must run the call
 * @param affinityKey calls with the same key prefer the same endpoint while its load allows; none
 *     without preference
 * @param excluded endpoints that must not be selected, because the call was tried there
 */
public record SelectionRequest(
        ServiceName service, Option<String> affinityKey, Set<EndpointId> excluded) {
    /** Returns a copy of this request that also excludes the given endpoint. */
    public SelectionRequest excluding(EndpointId endpoint) {
        return new SelectionRequest(service, affinityKey, excluded.add(endpoint));
    }
}
