package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Option;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.RateLimit;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.log.StructuredLog;

/**
 * Reads the rate limit that an endpoint states in its responses. Each response without one ends an
 * earlier limit; a malformed value changes nothing, because it shows neither a limit nor its end.
 */
final class RateLimitReader {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    private final HttpString headerName;
    private final EndpointTable endpoints;

    RateLimitReader(HttpString headerName, EndpointTable endpoints) {
        this.headerName = headerName;
        this.endpoints = endpoints;
    }

    /** Records what the head of a response of the endpoint to the call states. */
    void read(EndpointId endpoint, CallId call, HeaderMap headers) {
        String text = headers.getFirst(headerName);
        if (text == null) {
            record(endpoint, call, Option.none());
            return;
        }
        Option<RateLimit> limit = RateLimit.parse(text);
        if (limit.isEmpty()) {
            LOG.event("rate_limit_malformed")
                    .with("endpoint", endpoint)
                    .with("call", call)
                    .with("value", text)
                    .warn();
            return;
        }
        record(endpoint, call, limit);
    }

    private void record(EndpointId endpoint, CallId call, Option<RateLimit> limit) {
        Option<RateLimit> previous = endpoints.recordRateLimit(endpoint, limit, System.nanoTime());
        if (!previous.equals(limit)) {
            LOG.event("rate_limit_changed")
                    .with("endpoint", endpoint)
                    .with("call", call)
                    .with("from", previous.map(RateLimit::toString).getOrElse("none"))
                    .with("to", limit.map(RateLimit::toString).getOrElse("none"))
                    .info();
        }
    }
}
