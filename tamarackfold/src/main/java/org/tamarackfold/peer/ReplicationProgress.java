package org.tamarackfold.peer;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.StoreId;

/**
 * Tracks on the primary which members of a shard are known to hold all of its records. A record is
 * confirmed before every member has acknowledged it, so some members may lack records. Not
 * thread-safe; guarded by the lock of {@link ShardTable}.
 */
final class ReplicationProgress {
    /** Number of appends of the epoch that a store has not acknowledged. */
    private final Map<StoreId, Integer> pendingAcks = new HashMap<>();

    /** Stores that held all records at the start of the epoch. */
    private Set<StoreId> completeAtStart = HashSet.empty();

    private Epoch epoch = new Epoch(-1);

    /** Resets the state for an epoch at whose start the given members hold all records. */
    void startEpoch(Epoch newEpoch, Set<StoreId> completeStores) {
        epoch = newEpoch;
        completeAtStart = completeStores;
        pendingAcks.clear();
    }

    /** Counts an append that was sent to a store; ignored when it belongs to another epoch. */
    void onSent(Epoch sendEpoch, StoreId store) {
        if (sendEpoch.equals(epoch)) {
            pendingAcks.merge(store, 1, Integer::sum);
        }
    }

    /** Counts an append that a store has acknowledged; ignored when it belongs to another epoch. */
    void onAcknowledged(Epoch sendEpoch, StoreId store) {
        if (sendEpoch.equals(epoch)) {
            pendingAcks.merge(store, -1, Integer::sum);
        }
    }

    /**
     * Returns whether a member held all records at the start of the epoch and has acknowledged
     * every append since.
     */
    boolean isComplete(StoreId store) {
        return completeAtStart.contains(store) && pendingAcks.getOrDefault(store, 0) == 0;
    }
}
