package org.tamarackfold.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;

/** Sends requests to other hosts. */
public interface PeerChannel {
    /**
     * Sends a request. The future completes with {@link PeerReply.Unreachable} when the host cannot
     * be reached or does not reply within the timeout; it never fails.
     */
    CompletableFuture<PeerReply> send(Address address, PeerRequest request, Duration timeout);
}
