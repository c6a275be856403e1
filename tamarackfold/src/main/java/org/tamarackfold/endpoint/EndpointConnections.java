package org.tamarackfold.endpoint;

import java.util.concurrent.CompletableFuture;

/** The connections of this host to endpoints. */
public interface EndpointConnections {
    /** Opens a connection and closes it; returns what became of it within a timeout. */
    CompletableFuture<ConnectionProbe> probe(EndpointRecord endpoint);

    /** Opens a connection and closes it; returns whether it was opened within a timeout. */
    default CompletableFuture<Boolean> test(EndpointRecord endpoint) {
        return probe(endpoint).thenApply(ConnectionProbe.Opened.class::isInstance);
    }

    /** Closes the connections that no call uses. */
    void closeIdle(EndpointRecord endpoint);
}
