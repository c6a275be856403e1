package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Vector;
import org.tamarackfold.peer.EntryHost;

/** How an entry host learns of changes in the key-value service. */
public sealed interface WatchRole {
    /** It watches the service, and no host relies on it. */
    record Watcher() implements WatchRole {}

    /** It watches the service, and other hosts of its zone ask it for changes. */
    record Source() implements WatchRole {}

    /**
     * It asks the sources of its zone for changes.
     *
     * @param sources the hosts that it may ask, at least one
     */
    record Follower(Vector<EntryHost> sources) implements WatchRole {}
}
