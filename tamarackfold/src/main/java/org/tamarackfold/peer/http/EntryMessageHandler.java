package org.tamarackfold.peer.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.function.UnaryOperator;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.transport.RequestBody;
import org.tamarackfold.transport.ResponseWriter;

/** Replies to one kind of message from other entry hosts. */
public final class EntryMessageHandler implements HttpHandler {
    private static final StructuredLog LOG = StructuredLog.of("peer");

    private final UnaryOperator<byte[]> service;

    /**
     * Creates a handler.
     *
     * @param service returns the encoded reply to an encoded message, at once; it throws {@link
     *     IllegalArgumentException} for a malformed message
     */
    public EntryMessageHandler(UnaryOperator<byte[]> service) {
        this.service = service;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        // Undertow ends the exchange when a handler returns without a dispatch.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> RequestBody.receive(exchange, body -> handle(exchange, body)));
    }

    private void handle(HttpServerExchange exchange, byte[] message) {
        byte[] reply;
        try {
            reply = service.apply(message);
        } catch (IllegalArgumentException e) {
            reject(exchange, StatusCodes.BAD_REQUEST, "message_malformed", e);
            return;
        } catch (RuntimeException e) {
            reject(exchange, StatusCodes.INTERNAL_SERVER_ERROR, "message_failed", e);
            return;
        }
        ResponseWriter.sendBody(exchange, reply);
    }

    private static void reject(
            HttpServerExchange exchange, int status, String event, RuntimeException error) {
        LOG.event(event)
                .with("path", exchange.getRequestPath())
                .with("peer", exchange.getSourceAddress())
                .with("reason", error)
                .warn();
        exchange.setStatusCode(status);
        exchange.endExchange();
    }
}
