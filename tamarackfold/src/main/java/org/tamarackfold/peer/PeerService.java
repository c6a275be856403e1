package org.tamarackfold.peer;

import java.util.concurrent.CompletableFuture;

/** Handles the messages that a host receives from others. */
public interface PeerService {
    /** Handles a request; the future never fails. */
    CompletableFuture<PeerReply> handle(PeerRequest request);
}
