package org.tamarackfold.caller.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import io.vavr.control.Option;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tamarackfold.endpoint.ObservedEndpoint;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.peer.http.ForwardReplyFrames;
import org.tamarackfold.peer.thrift.ForwardCodec;
import org.tamarackfold.transport.RequestBody;
import org.tamarackfold.transport.ResponseWriter;

/**
 * Forwards calls of other entry hosts to endpoints that these cannot reach. A call goes to the
 * endpoint that the sender names, directly and once: it is never passed to a further host.
 */
public final class ForwardHandler implements HttpHandler {
    /** Path of the requests with forwarded calls. */
    public static final String PATH = "/forward";

    private static final StructuredLog LOG = StructuredLog.of("forward");

    /**
     * Calls forwarded at a time; bounds the memory and connections that other hosts can take. More
     * than the slots of a large service.
     */
    private static final int MAXIMUM_CALLS = 512;

    /** Largest sum of the bodies of these calls, in bytes; a quarter of the heap of a host. */
    private static final long MAXIMUM_BODY_BYTES = 24L * 1024 * 1024;

    private final CallDependencies dependencies;
    private final int maximumCalls;
    private final Set<ForwardedCallExchange> calls = ConcurrentHashMap.newKeySet();
    private volatile boolean stopping;

    /** Creates the handler. */
    public ForwardHandler(CallDependencies dependencies) {
        this(dependencies, MAXIMUM_CALLS);
    }

    /** Creates a handler that forwards at most so many calls at a time. */
    ForwardHandler(CallDependencies dependencies, int maximumCalls) {
        this.dependencies = dependencies;
        this.maximumCalls = maximumCalls;
    }

    /** From now on, takes no further calls; other hosts are asked instead. */
    public void startDraining() {
        stopping = true;
    }

    /** Returns the number of calls being forwarded. */
    public int activeCalls() {
        return calls.size();
    }

    /** Breaks off the calls that are still being forwarded. */
    public void endCalls() {
        calls.forEach(ForwardedCallExchange::endBecauseStopping);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        // Undertow ends the exchange when a handler returns without a dispatch.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange));
    }

    private void receive(HttpServerExchange exchange) {
        Option<String> refusal = refusal(exchange.getRequestContentLength());
        if (refusal.isDefined()) {
            exchange.setPersistent(false);
            refuse(exchange, "unread", refusal.get());
            return;
        }
        RequestBody.receive(exchange, MAXIMUM_BODY_BYTES, body -> accept(exchange, body));
    }

    private Option<String> refusal(long additionalBytes) {
        if (stopping) {
            return Option.some("the host is stopping");
        }
        long bytes = calls.stream().mapToLong(ForwardedCallExchange::bodyBytes).sum();
        return calls.size() >= maximumCalls || bytes + additionalBytes > MAXIMUM_BODY_BYTES
                ? Option.some("the host forwards as many calls as it can")
                : Option.none();
    }

    private void accept(HttpServerExchange exchange, byte[] body) {
        ForwardedCall call;
        try {
            call = ForwardCodec.decodeCall(body);
        } catch (IllegalArgumentException e) {
            LOG.event("message_malformed")
                    .with("peer", exchange.getSourceAddress())
                    .with("reason", e.getMessage())
                    .warn();
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            exchange.endExchange();
            return;
        }
        Option<String> refusal = refusal(body.length);
        if (refusal.isDefined()) {
            refuse(exchange, call.id().value(), refusal.get());
            return;
        }
        Option<ObservedEndpoint> endpoint =
                dependencies.endpoints().available(call.endpoint(), System.nanoTime());
        if (endpoint.isEmpty()) {
            reply(exchange, call, new ForwardReply.NotSent("the endpoint is leaving or unknown"));
            return;
        }
        if (!endpoint.get().reachable()) {
            reply(exchange, call, new ForwardReply.Unreachable());
            return;
        }
        new ForwardedCallExchange(dependencies, calls, exchange, call, endpoint.get().record())
                .start();
    }

    private void reply(HttpServerExchange exchange, ForwardedCall call, ForwardReply reply) {
        StructuredLog.Line line = LOG.event("call_not_forwarded").with("call", call.id());
        ForwardedHeaders.value(call.headers(), dependencies.headerNames().customer())
                .forEach(customer -> line.with("customer", customer));
        line.with("endpoint", call.endpoint()).with("reply", reply).info();
        dependencies.metrics().recordForwardedCall(reply.getClass().getSimpleName());
        ResponseWriter.sendBody(exchange, ForwardReplyFrames.encode(reply));
    }

    private void refuse(HttpServerExchange exchange, String callId, String reason) {
        LOG.event("call_refused").with("call", callId).with("reason", reason).info();
        dependencies.metrics().recordForwardedCall("Refused");
        ResponseWriter.sendBody(
                exchange, ForwardReplyFrames.encode(new ForwardReply.Refused(reason)));
    }
}
