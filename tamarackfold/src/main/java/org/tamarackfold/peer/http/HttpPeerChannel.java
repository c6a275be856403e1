package org.tamarackfold.peer.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.metrics.NodeMetrics;
import org.tamarackfold.peer.PeerChannel;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.thrift.MessageCodec;
import org.tamarackfold.transport.HttpClientPool;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.ResponseListener;
import org.tamarackfold.transport.TransportFailure;

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
                        .connectTimeout(
                                timeout.compareTo(CONNECT_TIMEOUT) < 0 ? timeout : CONNECT_TIMEOUT)
                        .responseTimeout(timeout)
                        .build();
        client.send(message, new ReplyReader(address, request, reply));
        return reply;
    }

    private final class ReplyReader implements ResponseListener {
        private final Address address;
        private final PeerRequest request;
        private final CompletableFuture<PeerReply> reply;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        ReplyReader(Address address, PeerRequest request, CompletableFuture<PeerReply> reply) {
            this.address = address;
            this.request = request;
            this.reply = reply;
        }

        @Override
        public void onHead(int code, HeaderMap headers) {
            status = code;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            body.writeBytes(chunk);
        }

        @Override
        public void onEnd() {
            if (status != OK) {
                complete(new PeerReply.Unavailable("status " + status), "rejected");
                return;
            }
            try {
                complete(MessageCodec.decodeReply(body.toByteArray()), "answered");
            } catch (IllegalArgumentException e) {
                complete(new PeerReply.Unavailable(e.getMessage()), "malformed");
            }
        }

        @Override
        public void onFailure(TransportFailure failure) {
            if (failure instanceof TransportFailure.TimedOut) {
                // A connection that has gone silent is not reused, nor are others of its age.
                client.discardIdle(address);
            }
            complete(new PeerReply.Unreachable(address + ": " + failure), "unreachable");
        }

        private void complete(PeerReply value, String outcome) {
            metrics.peerCall(request.label(), outcome);
            reply.complete(value);
        }
    }
}
