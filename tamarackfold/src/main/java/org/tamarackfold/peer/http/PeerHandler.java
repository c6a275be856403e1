package org.tamarackfold.peer.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.PeerService;
import org.tamarackfold.peer.thrift.MessageCodec;
import org.tamarackfold.transport.RequestBody;
import org.tamarackfold.transport.ResponseWriter;

/** HTTP handler for the requests of other hosts. */
public final class PeerHandler implements HttpHandler {
    private static final StructuredLog LOG = StructuredLog.of("peer");

    private final PeerService service;

    /** Creates a handler that passes each decoded request to the service. */
    public PeerHandler(PeerService service) {
        this.service = service;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        // Undertow ends the exchange when a handler returns without a dispatch.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> RequestBody.receive(exchange, body -> handle(exchange, body)));
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        PeerRequest request;
        try {
            request = MessageCodec.decodeRequest(body);
        } catch (IllegalArgumentException e) {
            LOG.event("message_malformed")
                    .with("peer", exchange.getSourceAddress())
                    .with("reason", e.getMessage())
                    .warn();
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            exchange.endExchange();
            return;
        }
        serve(request)
                .exceptionally(error -> failedReply(request, error))
                .thenAcceptAsync(reply -> send(exchange, reply), exchange.getIoThread());
    }

    private CompletableFuture<PeerReply> serve(PeerRequest request) {
        try {
            return service.handle(request);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Answers after an unexpected error, so that the sender does not wait for its timeout. */
    private static PeerReply failedReply(PeerRequest request, Throwable error) {
        LOG.event("request_failed").with("kind", request.label()).with("reason", error).warn();
        return new PeerReply.Unavailable("unexpected error: " + error);
    }

    private static void send(HttpServerExchange exchange, PeerReply reply) {
        ResponseWriter.sendBody(exchange, MessageCodec.encode(reply));
    }
}
