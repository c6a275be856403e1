package org.tamarackfold.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;

/** Sends messages to other hosts. */
public interface PeerChannel {
    /**
     * Sends a request. A host that cannot be reached in time counts as {@link
     * PeerReply.Unreachable}; the future never fails.
     */
    CompletableFuture<PeerReply> send(Address address, PeerRequest request, Duration timeout);
}
