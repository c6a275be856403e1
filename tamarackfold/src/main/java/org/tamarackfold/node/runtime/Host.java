package org.tamarackfold.node.runtime;

/** A running host process. */
public interface Host {
    /**
     * Stops gracefully within a timeout. An entry host deregisters, then waits until callers no
     * longer use its address and its calls have ended; a storage host waits until its shards have
     * been moved to other hosts, then deregisters. The listeners are closed, then the threads of
     * the host end, so that it sends nothing afterwards. Blocks the calling thread; a further call
     * returns at once.
     */
    void stop();
}
