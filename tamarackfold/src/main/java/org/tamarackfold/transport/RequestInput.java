package org.tamarackfold.transport;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.server.protocol.http.HttpServerConnection;

/**
 * The request of an exchange as it was received on a connection of {@link HttpListeners}. Used on
 * the I/O thread of the exchange only.
 */
public final class RequestInput {
    /** What has arrived after a request. */
    public enum Following {
        NOTHING,
        BYTES,
        END
    }

    private final HttpServerExchange exchange;
    private final RequestInputConduit conduit;

    private RequestInput(HttpServerExchange exchange, RequestInputConduit conduit) {
        this.exchange = exchange;
        this.conduit = conduit;
    }

    /** Returns the request of an exchange. */
    public static RequestInput of(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        return new RequestInput(
                exchange, (RequestInputConduit) connection.getOriginalSourceConduit());
    }

    /** Returns a handler that marks the beginning and the end of each exchange. */
    static HttpHandler marking(HttpHandler handler) {
        return exchange -> {
            RequestInputConduit conduit = of(exchange).conduit;
            conduit.startExchange();
            exchange.addExchangeCompleteListener(
                    (ended, next) -> {
                        conduit.endExchange(ended.isPersistent());
                        next.proceed();
                    });
            handler.handleRequest(exchange);
        };
    }

    RequestInputConduit conduit() {
        return conduit;
    }

    /** Returns what the request asks for. */
    public RequestTarget target() {
        return conduit.target();
    }

    /** Returns whether the client has sent a further request already. */
    public boolean hasFollowing() {
        return conduit.hasFollowing();
    }

    /** Returns whether the client waits for 100 before it sends the body. */
    public boolean expectsContinue() {
        return HttpContinue.requiresContinueResponse(exchange);
    }

    /** Reads no more of the request, and closes its connection after the response. */
    public void discardRest() {
        if (!exchange.isRequestComplete()) {
            exchange.setPersistent(false);
            conduit.discardRest();
        }
    }

    /** Reads what has arrived after the request, whose body must have been read completely. */
    public Following readAhead() {
        return conduit.readAhead();
    }
}
