package org.tamarackfold.peer;

import org.tamarackfold.id.HostId;

/**
 * Port to the other nodes. A message is delivered at most once; a message that cannot be delivered
 * is dropped, and the sender's timers handle the loss.
 */
public interface PeerTransport {
    /** Queues a message for a host and returns at once. */
    void send(HostId host, PeerMessage message);
}
