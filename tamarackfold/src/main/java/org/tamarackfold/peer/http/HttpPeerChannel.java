package org.tamarackfold.peer.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.peer.PeerChannel;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.thrift.MessageCodec;
import org.tamarackfold.time.Durations;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseCollector;
import org.tamarackfold.transport.TransportFailure;
import org.tamarackfold.transport.TransportFailure.TimedOut;

/** Sends requests to other hosts as HTTP POST requests with Thrift bodies. */
public final class HttpPeerChannel implements PeerChannel {
    static final String PATH = "/peer";

    /** Timeout for opening a connection; the latency between hosts is a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    private static final HttpString POST = new HttpString("POST");
    private static final int OK = 200;

    private final PooledHttpClient client;
    private final HostMetrics metrics;

    /** Creates a channel that counts the outcome of each request in the metrics. */
    public HttpPeerChannel(PooledHttpClient client, HostMetrics metrics) {
        this.client = client;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<PeerReply> send(
            Address address, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        HttpRequest httpRequest =
                HttpRequest.builder()
                        .address(address)
                        .method(POST)
                        .path(PATH)
                        .headers(new HeaderMap())
                        .body(MessageCodec.encode(request))
                        .connectTimeout(Durations.min(timeout, CONNECT_TIMEOUT))
                        .responseTimeout(timeout)
                        .build();
        metrics.recordPeerCallSent();
        client.send(
                httpRequest,
                new ResponseCollector(
                        result -> {
                            if (result.isLeft() && result.getLeft() instanceof TimedOut) {
                                // The connection may be dead without having been closed. Idle
                                // connections of the same age are likely dead, too.
                                client.closeIdleConnections(address);
                            }
                            PeerReply peerReply =
                                    result.fold(
                                            failure -> unreachable(address, failure),
                                            this::decodeReply);
                            metrics.recordPeerCall(
                                    request.label(), peerReply.getClass().getSimpleName());
                            reply.complete(peerReply);
                        }));
        return reply;
    }

    private static PeerReply unreachable(Address address, TransportFailure failure) {
        return new PeerReply.Unreachable(address + ": " + failure);
    }

    private PeerReply decodeReply(ResponseCollector.Response response) {
        if (response.status() != OK) {
            return new PeerReply.Unavailable("status " + response.status());
        }
        try {
            return MessageCodec.decodeReply(response.body());
        } catch (IllegalArgumentException e) {
            return new PeerReply.Unavailable(e.getMessage());
        }
    }
}
