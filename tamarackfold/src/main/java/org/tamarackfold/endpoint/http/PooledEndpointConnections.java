package org.tamarackfold.endpoint.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.endpoint.ConnectionProbe;
import org.tamarackfold.endpoint.EndpointConnections;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.transport.ConnectFailure;
import org.tamarackfold.transport.PooledHttpClient;

/** The connections to endpoints in the pool of the HTTP client. */
public final class PooledEndpointConnections implements EndpointConnections {
    /**
     * Timeout for opening a connection. An endpoint that is up accepts one within a few ms, also
     * while it answers no call.
     */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(300);

    private final PooledHttpClient client;

    /** Creates the connections over the given client. */
    public PooledEndpointConnections(PooledHttpClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<ConnectionProbe> probe(EndpointRecord endpoint) {
        CompletableFuture<ConnectionProbe> result = new CompletableFuture<>();
        client.testConnection(
                endpoint.address(),
                OPEN_TIMEOUT,
                failure ->
                        result.complete(
                                failure.fold(
                                        ConnectionProbe.Opened::new,
                                        PooledEndpointConnections::probe)));
        return result;
    }

    private static ConnectionProbe probe(ConnectFailure failure) {
        return switch (failure) {
            case ConnectFailure.Refused(String _) -> new ConnectionProbe.Refused();
            case ConnectFailure.TimedOut(), ConnectFailure.Failed(String _) ->
                    new ConnectionProbe.Unanswered();
        };
    }

    @Override
    public void closeIdle(EndpointRecord endpoint) {
        client.closeIdleConnections(endpoint.address());
    }
}
