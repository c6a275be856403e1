package org.tamarackfold.peer.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.metrics.NodeMetrics;
import org.tamarackfold.peer.PeerChannel;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.thrift.MessageCodec;
import org.tamarackfold.time.Durations;
import org.tamarackfold.transport.HttpClientPool;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.ResponseCollector;
import org.tamarackfold.transport.TransportFailure;
import org.tamarackfold.transport.TransportFailure.TimedOut;

/** Sends messages to other hosts as HTTP requests with Thrift bodies. */
public final class HttpPeerChannel implements PeerChannel {
    static final String PATH = "/peer";

    /** Longest wait for a new connection; hosts are a few ms apart. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    private static final HttpString POST = new HttpString("POST");
    private static final int OK = 200;

    private final HttpClientPool client;
    private final NodeMetrics metrics;

    /** Creates a channel over a client. */
    public HttpPeerChannel(HttpClientPool client, NodeMetrics metrics) {
        this.client = client;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<PeerReply> send(
            Address address, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        HttpRequest message =
                HttpRequest.builder()
                        .address(address)
                        .method(POST)
                        .path(PATH)
                        .headers(new HeaderMap())
                        .body(MessageCodec.encode(request))
                        .connectTimeout(Durations.min(timeout, CONNECT_TIMEOUT))
                        .responseTimeout(timeout)
                        .build();
        client.send(
                message,
                new ResponseCollector(
                        result -> {
                            if (result.isLeft() && result.getLeft() instanceof TimedOut) {
                                // A connection that has gone silent is not reused, nor are others
                                // of its age.
                                client.discardIdle(address);
                            }
                            PeerReply decoded = result.fold(f -> failed(address, f), this::decode);
                            metrics.peerCall(request.label(), decoded.getClass().getSimpleName());
                            reply.complete(decoded);
                        }));
        return reply;
    }

    private static PeerReply failed(Address address, TransportFailure failure) {
        return new PeerReply.Unreachable(address + ": " + failure);
    }

    private PeerReply decode(ResponseCollector.Response response) {
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
