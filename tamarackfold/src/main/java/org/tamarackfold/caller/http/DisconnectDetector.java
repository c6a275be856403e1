package org.tamarackfold.caller.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its call runs. Undertow stops reading then, so
 * a close would show only at the next write.
 */
final class DisconnectDetector {
    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final Runnable onDisconnect;
    private boolean stopped;

    private DisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
        this.connection = connection;
        // The conduit of the request itself reports its end once the body has been read.
        this.source = connection.getOriginalSourceConduit();
        this.onDisconnect = onDisconnect;
    }

    /** Starts watching; the request must have been read whole. */
    static DisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        DisconnectDetector watch = new DisconnectDetector(connection, onDisconnect);
        if (connection.getExtraBytes() == null) {
            connection.getChannel().getSourceChannel().setReadListener(unused -> watch.readable());
            watch.source.resumeReads();
        }
        return watch;
    }

    void stop() {
        stopped = true;
    }

    private void readable() {
        if (stopped) {
            source.suspendReads();
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean handedOver = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count < 0) {
                source.suspendReads();
                onDisconnect.run();
            } else if (count > 0) {
                // The next request of the connection; Undertow parses it after this exchange.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                handedOver = true;
            }
        } catch (IOException e) {
            source.suspendReads();
            onDisconnect.run();
        } finally {
            if (!handedOver) {
                pooled.close();
            }
        }
    }
}
