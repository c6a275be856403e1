package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.tamarackfold.transport.RequestInput;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its call runs. Undertow does not read from a
 * connection during a call, so the close would otherwise be noticed only at the next write.
 * Detection ends when bytes of the next request arrive on the connection.
 */
final class DisconnectDetector {
    private final RequestInput input;
    private final StreamSourceConduit source;
    private final Runnable onDisconnect;
    private boolean stopped;

    private DisconnectDetector(
            RequestInput input, HttpServerConnection connection, Runnable onDisconnect) {
        this.input = input;
        // The conduit of the request reports end of stream once the body has been read.
        this.source = connection.getOriginalSourceConduit();
        this.onDisconnect = onDisconnect;
    }

    /**
     * Starts detection; the request body must have been read completely. Detects nothing if bytes
     * of the next request have been read already.
     */
    static DisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        RequestInput input = RequestInput.of(exchange);
        DisconnectDetector detector = new DisconnectDetector(input, connection, onDisconnect);
        if (!input.hasFollowing()) {
            connection
                    .getChannel()
                    .getSourceChannel()
                    .setReadListener(unused -> detector.onReadable());
            detector.source.resumeReads();
        }
        return detector;
    }

    /** Ends detection; the callback is not run afterwards. */
    void stop() {
        stopped = true;
    }

    private void onReadable() {
        if (stopped) {
            source.suspendReads();
            return;
        }
        switch (input.readAhead()) {
            case NOTHING -> {}
            case BYTES -> source.suspendReads();
            case END -> {
                source.suspendReads();
                onDisconnect.run();
            }
        }
    }
}
