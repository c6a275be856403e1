package org.tamarackfold.caller.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its call runs. Undertow does not read from a
 * connection during a call, so the close would otherwise be noticed only at the next write.
 * Detection ends when bytes of the next request arrive on the connection.
 */
final class DisconnectDetector {
    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final Runnable onDisconnect;
    private boolean stopped;

    private DisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
        this.connection = connection;
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
        DisconnectDetector detector = new DisconnectDetector(connection, onDisconnect);
        if (connection.getExtraBytes() == null) {
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
        PooledByteBuffer pooledBuffer = connection.getByteBufferPool().allocate();
        boolean handedOver = false;
        try {
            int count = source.read(pooledBuffer.getBuffer());
            if (count < 0) {
                source.suspendReads();
                onDisconnect.run();
            } else if (count > 0) {
                // Bytes of the next request; Undertow parses them after this exchange.
                source.suspendReads();
                pooledBuffer.getBuffer().flip();
                connection.ungetRequestBytes(pooledBuffer);
                handedOver = true;
            }
        } catch (IOException e) {
            source.suspendReads();
            onDisconnect.run();
        } finally {
            if (!handedOver) {
                pooledBuffer.close();
            }
        }
    }
}
