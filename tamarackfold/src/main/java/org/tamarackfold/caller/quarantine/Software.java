package org.tamarackfold.caller.quarantine;

import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;

/** The software that runs a request; another version may be able to run what this one cannot. */
public record Software(ServiceName service, SoftwareVersion version) {
    /** Returns the software of an endpoint. */
    public static Software of(EndpointRecord endpoint) {
        return new Software(endpoint.service(), endpoint.version());
    }
}
