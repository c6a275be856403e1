package org.tamarackfold.peer.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.time.Durations;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseCollector;
import org.tamarackfold.transport.TransportFailure;

/**
 * Sends encoded messages to other entry hosts as HTTP POST requests, each kind at a path of its
 * own. The futures never fail.
 */
public final class EntryHostMessages {
    /** Timeout for opening a connection; the latency between hosts is a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    private static final HttpString POST = new HttpString("POST");
    private static final int OK = 200;

    private final PooledHttpClient client;
    private final HostMetrics metrics;

    /** Creates a sender that counts the outcome of each message in the metrics. */
    public EntryHostMessages(PooledHttpClient client, HostMetrics metrics) {
        this.client = client;
        this.metrics = metrics;
    }

    /**
     * Sends a message; the future holds the body of the reply, or on the left the reason why there
     * is none.
     *
     * @param path the path of the kind of message, which is also its label in the metrics
     */
    public CompletableFuture<Either<String, byte[]>> send(
            Address address, String path, byte[] message, Duration timeout) {
        CompletableFuture<Either<String, byte[]>> reply = new CompletableFuture<>();
        HttpRequest request =
                HttpRequest.builder()
                        .address(address)
                        .method(POST)
                        .path(path)
                        .headers(new HeaderMap())
                        .body(message)
                        .connectTimeout(Durations.min(timeout, CONNECT_TIMEOUT))
                        .responseTimeout(timeout)
                        .build();
        metrics.recordPeerCallSent();
        client.send(
                request,
                new ResponseCollector(result -> reply.complete(onResult(address, path, result))));
        return reply;
    }

    private Either<String, byte[]> onResult(
            Address address,
            String path,
            Either<TransportFailure, ResponseCollector.Response> result) {
        if (result.isLeft() && result.getLeft() instanceof TransportFailure.TimedOut) {
            // Idle connections of the same age are likely dead, too.
            client.closeIdleConnections(address);
        }
        Either<String, byte[]> reply =
                result.mapLeft(String::valueOf)
                        .flatMap(
                                response ->
                                        response.status() == OK
                                                ? Either.right(response.body())
                                                : Either.left("status " + response.status()));
        metrics.recordPeerCall(path, reply.isRight() ? "replied" : "failed");
        return reply;
    }
}
