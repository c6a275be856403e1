package org.tamarackfold.peer;

import java.util.concurrent.CompletableFuture;

/** Handles the requests that a host receives from other hosts. */
public interface PeerService {
    /**
     * Handles a request. The future never fails; errors are replies. May be called by any thread.
     */
    CompletableFuture<PeerReply> handle(PeerRequest request);
}
