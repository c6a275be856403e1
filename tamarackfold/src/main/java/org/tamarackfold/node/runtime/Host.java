package org.tamarackfold.node.runtime;

/** A running host process. */
public interface Host {
    /**
     * Stops gracefully: unregisters the host, waits up to a time limit for its calls to end or its
     * shards to be handed over, then closes its listeners. Blocks the calling thread meanwhile.
     */
    void stop();
}
