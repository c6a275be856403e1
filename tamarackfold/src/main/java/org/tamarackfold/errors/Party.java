package org.tamarackfold.errors;

import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;

/** The party at which a failure arose. */
public sealed interface Party {
    /** The caller. */
    record Caller() implements Party {}

    /** An operator. */
    record Operator() implements Party {}

    /**
     * An entry host.
     *
     * @param host the host
     */
    record Host(HostId host) implements Party {}

    /**
     * An endpoint.
     *
     * @param endpoint the endpoint
     */
    record Endpoint(EndpointId endpoint) implements Party {}

    /** The key-value service of the platform. */
    record KeyValueService() implements Party {}

    /** Returns the text form used in logs and replies. */
    default String label() {
        return switch (this) {
            case Caller() -> "caller";
            case Operator() -> "operator";
            case Host(HostId host) -> "host " + host;
            case Endpoint(EndpointId endpoint) -> "endpoint " + endpoint;
            case KeyValueService() -> "key-value service";
        };
    }
}
