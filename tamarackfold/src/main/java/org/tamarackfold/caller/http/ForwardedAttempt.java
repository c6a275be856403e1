package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.collection.Seq;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.CallId;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.peer.ForwardingHosts;
import org.tamarackfold.peer.http.ForwardReplyFrames;
import org.tamarackfold.peer.thrift.ForwardCodec;
import org.tamarackfold.transport.ExchangeHandle;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseHead;
import org.tamarackfold.transport.ResponseListener;
import org.tamarackfold.transport.TransportFailure;

/**
 * An attempt that another entry host sends to the endpoint, because this host cannot reach it.
 * Everything but the sending is done here, as for a direct attempt.
 */
final class ForwardedAttempt implements EndpointAttempt, ResponseListener {
    /** Timeout for opening a connection; the latency between hosts is a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    private static final HttpString POST = new HttpString("POST");
    private static final int OK = 200;

    private final EndpointRecord endpoint;
    private final EntryHost host;
    private final CallId call;
    private final PooledHttpClient client;
    private final ForwardingHosts forwardingHosts;
    private final ResponseVerifier verifier;
    private final RateLimitReader rateLimitReader;
    private final LeavingReader leavingReader;
    private final Listener listener;
    private final ForwardReplyFrames frames = new ForwardReplyFrames();
    private ExchangeHandle handle;
    private CrashWatch crashWatch;
    private boolean accepted;
    private boolean headSeen;
    private boolean ended;

    /** Set when the host has reported that there is no response to relay. */
    private Option<AttemptOutcome> outcome = Option.none();

    private String reason = "";

    ForwardedAttempt(
            EndpointRecord endpoint,
            EntryHost host,
            CallId call,
            CallDependencies dependencies,
            Listener listener) {
        this.endpoint = endpoint;
        this.host = host;
        this.call = call;
        this.client = dependencies.client();
        this.forwardingHosts = dependencies.paths().forwardingHosts();
        this.verifier = new ResponseVerifier(dependencies.headerNames());
        this.rateLimitReader =
                new RateLimitReader(
                        dependencies.headerNames().rateLimit(), dependencies.endpoints());
        this.leavingReader =
                new LeavingReader(
                        dependencies.headerNames().leaving(), dependencies.endpoints(), client);
        this.listener = listener;
    }

    @Override
    public EndpointRecord endpoint() {
        return endpoint;
    }

    /** Returns the host that forwards the call. */
    EntryHost host() {
        return host;
    }

    @Override
    public void start(EndpointRequest request, Duration remainingTime) {
        crashWatch = request.crashWatch();
        ForwardedCall forwarded =
                ForwardedCall.builder()
                        .id(call)
                        .endpoint(endpoint.id())
                        .method(request.method())
                        .pathAndQuery(request.pathAndQuery())
                        .headers(ForwardedHeaders.toList(request.headers()))
                        .body(request.body())
                        .remainingTime(remainingTime)
                        .retryable(request.retryable())
                        .fingerprint(crashWatch.fingerprint())
                        .build();
        HttpRequest httpRequest =
                HttpRequest.builder()
                        .address(host.peerAddress())
                        .method(POST)
                        .path(ForwardHandler.PATH)
                        .body(ForwardCodec.encode(forwarded))
                        .connectTimeout(CONNECT_TIMEOUT)
                        .withoutResponseTimeout()
                        .build();
        handle = client.send(httpRequest, this);
    }

    @Override
    public void cancel() {
        if (handle != null) {
            handle.cancel();
        }
        end();
    }

    /** The forwarding host is no longer counted as working on the call. */
    private void end() {
        if (!ended) {
            ended = true;
            forwardingHosts.release(host.host());
        }
    }

    @Override
    public void setReadingPaused(boolean paused) {
        if (handle != null) {
            handle.setReadingPaused(paused);
        }
    }

    @Override
    public void readArrived() {
        if (handle != null) {
            handle.readArrived();
        }
    }

    @Override
    public ExchangeHandle.Stage stage() {
        return handle.stage();
    }

    /** A host that has accepted the call watches its own path to the endpoint. */
    @Override
    public CompletableFuture<Boolean> checkPath() {
        if (!accepted) {
            forwardingHosts.recordFailure(host.host());
        }
        return CompletableFuture.completedFuture(accepted);
    }

    @Override
    public void onHead(ResponseHead head) {
        if (head.status() != OK) {
            // A host of an earlier version, which knows no forwarded calls.
            endUnforwarded("status " + head.status());
        }
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        try {
            while (!headSeen && outcome.isEmpty() && bytes.hasRemaining()) {
                frames.read(bytes).forEach(this::onReply);
            }
        } catch (IllegalArgumentException e) {
            cancel();
            listener.onNoResponse(
                    new AttemptOutcome.Unknown(), host.host() + ": " + e.getMessage());
            return;
        }
        if (headSeen && bytes.hasRemaining()) {
            listener.onResponseBody(bytes);
        }
    }

    private void onReply(ForwardReply reply) {
        switch (reply) {
            case ForwardReply.Accepted() -> accepted = true;
            case ForwardReply.Head(int status, Seq<ForwardedCall.Header> headers) ->
                    onResponseHead(status, headers);
            case ForwardReply.Full() ->
                    endWith(
                            new AttemptOutcome.Rejected(AttemptOutcome.Cause.FULL),
                            "rejected by the endpoint");
            case ForwardReply.Misdirected() ->
                    endWith(
                            new AttemptOutcome.Rejected(AttemptOutcome.Cause.MISDIRECTED),
                            "rejected by the endpoint");
            case ForwardReply.NotSent(String why) -> endWith(new AttemptOutcome.NotSent(), why);
            case ForwardReply.Unreachable() -> {
                forwardingHosts.recordUnreachable(host.host());
                endWith(new AttemptOutcome.NotSent(), "the endpoint is out of reach there, too");
            }
            case ForwardReply.Unknown(String why) -> endWith(new AttemptOutcome.Unknown(), why);
            case ForwardReply.Refused(String why) -> endUnforwarded(why);
        }
    }

    /** Hosts of earlier builds pass on malformed heads and successes without a signature. */
    private void onResponseHead(int status, Seq<ForwardedCall.Header> fields) {
        Option<String> malformed = ForwardedHeaders.violation(status, fields);
        if (malformed.isDefined()) {
            rejectHead("malformed head: " + malformed.get());
            return;
        }
        HeaderMap headers = ForwardedHeaders.toMap(fields);
        Option<String> mismatch = verifier.mismatch(call, status, headers, false);
        if (mismatch.isDefined()) {
            rejectHead(mismatch.get());
            return;
        }
        headSeen = true;
        rateLimitReader.read(endpoint.id(), call, headers);
        leavingReader.read(endpoint, call, headers);
        listener.onResponseHead(status, headers);
    }

    private void rejectHead(String why) {
        cancel();
        endWith(new AttemptOutcome.Unknown(), why);
        listener.onNoResponse(outcome.get(), reason);
    }

    private void endUnforwarded(String why) {
        forwardingHosts.recordFailure(host.host());
        endWith(new AttemptOutcome.NotForwarded(), why);
    }

    private void endWith(AttemptOutcome reported, String why) {
        outcome = Option.some(reported);
        reason = host.host() + ": " + why;
    }

    @Override
    public void onEnd() {
        end();
        if (headSeen) {
            listener.onResponseEnd();
            return;
        }
        AttemptOutcome known = outcome.getOrElse(AttemptOutcome.Unknown::new);
        if (known instanceof AttemptOutcome.Unknown) {
            crashWatch.onForwardingLost();
        }
        listener.onNoResponse(
                known, outcome.isDefined() ? reason : host.host() + " sent no result");
    }

    @Override
    public void onFailure(TransportFailure failure) {
        end();
        String failureReason = "link to " + host.host() + ": " + failure;
        if (!(failure instanceof TransportFailure.NotSent)) {
            crashWatch.onForwardingLost();
        }
        if (headSeen) {
            listener.onResponseFailure(failureReason);
            return;
        }
        if (outcome.isDefined()) {
            listener.onNoResponse(outcome.get(), reason);
            return;
        }
        forwardingHosts.recordFailure(host.host());
        listener.onNoResponse(
                failure instanceof TransportFailure.NotSent
                        ? new AttemptOutcome.NotForwarded()
                        : new AttemptOutcome.Unknown(),
                failureReason);
    }
}
