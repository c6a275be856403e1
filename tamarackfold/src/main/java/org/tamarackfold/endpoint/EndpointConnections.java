package org.tamarackfold.endpoint;

import java.util.concurrent.CompletableFuture;

/** The connections of this host to endpoints. */
public interface EndpointConnections {
    /** Opens a connection and closes it; returns whether it was opened within a timeout. */
    CompletableFuture<Boolean> test(EndpointRecord endpoint);

    /** Closes the connections that no call uses. */
    void closeIdle(EndpointRecord endpoint);
}
