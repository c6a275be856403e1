package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.tamarackfold.caller.Authenticator;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.CallerIdentity;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;

/** Applies the identity of the caller to a request whose body has not been read. */
final class CallerAuthentication {
    private final HostMetrics metrics;

    CallerAuthentication(HostMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Returns the call with the customer that it belongs to, or on the left the response to a call
     * without a valid key. When the release has customers, the key is removed from the request, so
     * that no later step can pass it on.
     */
    Either<LocalResponse, CallDescription> identify(
            HttpServerExchange exchange, CallDescription call, Release release, Route route) {
        Vector<String> headers = authorizationHeaders(exchange);
        if (release.customers().isDefined()) {
            exchange.getRequestHeaders().remove(Headers.AUTHORIZATION);
        }
        return switch (Authenticator.identify(release.customers(), route.isPublic(), headers)) {
            case CallerIdentity.Anonymous() -> Either.right(call);
            case CallerIdentity.OfCustomer(var name) ->
                    Either.right(call.withCustomer(Option.some(name)));
            case CallerIdentity.Rejected(CallerIdentity.Cause cause) -> {
                metrics.recordRejectedCaller(cause.label());
                prepareRejection(exchange, release.limits().bodyBytes());
                yield Either.left(new LocalResponse.Unauthorized(cause));
            }
        };
    }

    private static Vector<String> authorizationHeaders(HttpServerExchange exchange) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.AUTHORIZATION);
        return values == null ? Vector.empty() : Vector.ofAll(values);
    }

    /**
     * Bounds the body that is skipped to keep the connection. The connection is not kept when the
     * body is longer, or when the caller waits for a 100 response and so may never send the body:
     * its next request would be skipped instead.
     */
    private static void prepareRejection(HttpServerExchange exchange, long maximumBodyBytes) {
        exchange.setMaxEntitySize(maximumBodyBytes);
        if (exchange.getRequestContentLength() > maximumBodyBytes
                || exchange.getRequestHeaders().contains(Headers.EXPECT)) {
            exchange.setPersistent(false);
        }
    }
}
