package org.tamarackfold.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Passes requests on to storage hosts on an entry host, for other entry hosts that are cut off from
 * them.
 */
public final class RelayService implements PeerService {
    /** Longest wait for the receiver; below the wait of the host that asked. */
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private final PeerChannel channel;

    /** Creates the service over the channel of this host. */
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
