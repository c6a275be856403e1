package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.id.CallId;
import org.tamarackfold.transport.RequestInput;

/**
 * The request of a call as each of its attempts sends it to an endpoint.
 *
 * @param headers the end-to-end headers and the customer, without the headers that entry hosts set
 *     for an attempt
 * @param retryable whether the call may be retried although an endpoint may have run it
 * @param crashWatch learns of the breaks that the call meets
 */
record EndpointRequest(
        CallId call,
        String method,
        String pathAndQuery,
        HeaderMap headers,
        byte[] body,
        boolean retryable,
        CrashWatch crashWatch) {
    /** Returns the request that was received in an exchange, with the given body. */
    static EndpointRequest of(
            HttpServerExchange exchange,
            CallDescription call,
            CallHeaderNames headerNames,
            byte[] body,
            boolean retryable,
            CrashWatch crashWatch) {
        HeaderMap headers = EndToEndHeaders.forEndpoint(exchange.getRequestHeaders(), headerNames);
        call.customer().forEach(customer -> headers.put(headerNames.customer(), customer.value()));
        return new EndpointRequest(
                call.id(),
                call.method(),
                RequestInput.of(exchange).target().pathAndQuery(),
                headers,
                body,
                retryable,
                crashWatch);
    }
}
