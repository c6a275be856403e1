package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import io.vavr.control.Option;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.id.CallId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.transport.PooledHttpClient;

/**
 * Reads from the responses of an endpoint whether it is leaving. No response takes that back: the
 * endpoint may only start anew.
 */
final class LeavingReader {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /** The only value that states it. */
    private static final String LEAVING = "1";

    private final HttpString headerName;
    private final EndpointTable endpoints;
    private final PooledHttpClient client;

    LeavingReader(HttpString headerName, EndpointTable endpoints, PooledHttpClient client) {
        this.headerName = headerName;
        this.endpoints = endpoints;
        this.client = client;
    }

    /**
     * Records what the head of a response to the call states.
     *
     * @param endpoint the registration by which the endpoint was selected for the call
     */
    void read(EndpointRecord endpoint, CallId call, HeaderMap headers) {
        HeaderValues values = headers.get(headerName);
        if (values == null || !values.contains(LEAVING)) {
            return;
        }
        if (!endpoints.recordLeaving(endpoint, System.nanoTime())) {
            return;
        }
        LOG.event("endpoint_leaving")
                .with("endpoint", endpoint.id())
                .with("call", call)
                .with("started_at_ms", endpoint.startedAtMillis())
                .with("registration", registration(endpoint))
                .info();
        client.closeIdleConnections(endpoint.address());
    }

    /** Returns what is known of the endpoint from the key-value service, for the log. */
    private String registration(EndpointRecord endpoint) {
        Option<EndpointRecord> current = endpoints.get(endpoint.id());
        if (current.isEmpty()) {
            return "removed";
        }
        if (current.get().startedAtMillis() != endpoint.startedAtMillis()) {
            return "restarted";
        }
        return current.get().draining() ? "draining" : "ready";
    }
}
