package org.tamarackfold.transport;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/**
 * An open connection to a server.
 *
 * @param client the connection of Undertow's client
 * @param responseInput the conduit through which the client reads responses
 */
record ServerConnection(ClientConnection client, ResponseInputConduit responseInput) {
    boolean isOpen() {
        return client.isOpen();
    }

    /** Closes an idle connection. */
    void close() {
        IoUtils.safeClose(client);
    }

    /**
     * Closes the socket immediately. {@link ClientConnection#close} waits for the server and sends
     * no end of stream while a request is in progress, so the server would continue to process it.
     * The channel from {@link ClientConnection#performUpgrade} can be closed without that wait.
     */
    void closeDuringExchange() {
        try {
            IoUtils.safeClose(client.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(client);
        }
    }
}
