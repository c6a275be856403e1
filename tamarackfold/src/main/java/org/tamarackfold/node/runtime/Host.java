package org.tamarackfold.node.runtime;

/** A running host. */
public interface Host {
    /** Stops gracefully: takes no new work, ends what is in progress, then returns. */
    void stop();
}
