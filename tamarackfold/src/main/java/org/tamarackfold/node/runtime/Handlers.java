package org.tamarackfold.node.runtime;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import io.vavr.collection.Map;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.node.EntryDirectory;
import org.tamarackfold.transport.RequestBody;

/** Handlers of the readiness, directory and metrics listeners. */
final class Handlers {
    /** Longest body of a request that needs none, in bytes. */
    private static final long MAXIMUM_UNUSED_BYTES = 64 * 1024;

    private Handlers() {}

    /**
     * Selects a handler by the path of the request.
     *
     * @param byPath the handlers of single paths
     * @param others handles the requests of all other paths
     */
    static HttpHandler byPath(Map<String, HttpHandler> byPath, HttpHandler others) {
        return exchange ->
                byPath.getOrElse(exchange.getRequestPath(), others).handleRequest(exchange);
    }

    /**
     * Calls a handler of requests without a body after the body, if there is one. Nothing is served
     * to a request whose body is malformed.
     */
    private static HttpHandler afterBody(HttpHandler handler) {
        return exchange ->
                exchange.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () ->
                                RequestBody.receive(
                                        exchange,
                                        MAXIMUM_UNUSED_BYTES,
                                        body -> Connectors.executeRootHandler(handler, exchange)));
    }

    static HttpHandler metrics(HostMetrics metrics) {
        return afterBody(
                exchange -> {
                    exchange.getResponseHeaders()
                            .put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
                    exchange.getResponseSender().send(ByteBuffer.wrap(metrics.exposition()));
                });
    }

    static HttpHandler readiness(PlatformAdapter adapter, BooleanSupplier ready) {
        return afterBody(
                exchange -> {
                    boolean pathMatches = exchange.getRequestPath().equals(adapter.readinessPath());
                    int status =
                            !pathMatches
                                    ? StatusCodes.NOT_FOUND
                                    : ready.getAsBoolean()
                                            ? StatusCodes.OK
                                            : StatusCodes.SERVICE_UNAVAILABLE;
                    exchange.setStatusCode(status);
                    exchange.endExchange();
                });
    }

    static HttpHandler directory(
            PlatformAdapter adapter, EntryDirectory directory, Duration timeToLive) {
        return afterBody(
                exchange -> {
                    if (!exchange.getRequestPath().equals(adapter.directoryPath())) {
                        exchange.setStatusCode(StatusCodes.NOT_FOUND);
                        exchange.endExchange();
                        return;
                    }
                    var addresses = directory.addressesFor(queryParameter(exchange, "zone"));
                    if (addresses.isEmpty()) {
                        exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
                        exchange.endExchange();
                        return;
                    }
                    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                    exchange.getResponseSender()
                            .send(ByteBuffer.wrap(adapter.encodeDirectory(addresses, timeToLive)));
                });
    }

    private static String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? "" : values.peekFirst();
    }
}
