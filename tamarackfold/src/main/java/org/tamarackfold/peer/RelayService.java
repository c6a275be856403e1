package org.tamarackfold.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Relays requests on an entry host to storage hosts, on behalf of other entry hosts that cannot
 * reach them directly. All other requests are rejected.
 */
public final class RelayService implements PeerService {
    /** Timeout of the relayed request; shorter than that of the host that asked for the relay. */
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private final PeerChannel channel;

    /** Creates a service that relays requests through the channel of this host. */
    public RelayService(PeerChannel channel) {
        this.channel = channel;
    }

    @Override
    public CompletableFuture<PeerReply> handle(PeerRequest request) {
        if (request instanceof PeerRequest.Relay(var address, PeerRequest relayed)
                && !(relayed instanceof PeerRequest.Relay)) {
            return channel.send(address, relayed, TIMEOUT);
        }
        return CompletableFuture.completedFuture(
                new PeerReply.Unavailable("an entry host holds no state"));
    }
}
