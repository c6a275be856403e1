package org.tamarackfold.endpoint;

import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.tamarackfold.endpoint.cost.CallProfile;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;

/**
 * Criteria for the selection of an endpoint.
 *
 * @param service the service that must run the call
 * @param affinityKey calls with the same key prefer the same endpoint while its load allows; none
 *     without preference
 * @param excluded endpoints that must not be selected, because the call was tried there
 * @param version the software version that the endpoint must run; none for any
 * @param profile what is known of the cost of the call; none where it is not used
 */
public record SelectionRequest(
        ServiceName service,
        Option<String> affinityKey,
        Set<EndpointId> excluded,
        Option<SoftwareVersion> version,
        Option<CallProfile> profile) {
    /** Creates a request for an endpoint of any software version, whatever the call costs. */
    public SelectionRequest(
            ServiceName service, Option<String> affinityKey, Set<EndpointId> excluded) {
        this(service, affinityKey, excluded, Option.none(), Option.none());
    }

    /** Returns a copy of this request that also excludes the given endpoint. */
    public SelectionRequest excluding(EndpointId endpoint) {
        return new SelectionRequest(service, affinityKey, excluded.add(endpoint), version, profile);
    }

    /** Returns a copy of this request for endpoints of the given service and software version. */
    public SelectionRequest requiring(
            ServiceName requiredService, SoftwareVersion requiredVersion) {
        return new SelectionRequest(
                requiredService, affinityKey, excluded, Option.some(requiredVersion), profile);
    }

    /** Returns a copy of this request for a call of which more is known. */
    public SelectionRequest withProfile(CallProfile known) {
        return new SelectionRequest(service, affinityKey, excluded, version, Option.some(known));
    }
}
