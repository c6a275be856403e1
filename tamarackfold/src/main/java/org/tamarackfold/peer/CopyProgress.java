package org.tamarackfold.peer;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.StoreId;

/**
 * Which members hold all records of a shard, as its primary knows. A record is confirmed before all
 * members have it, so some may lack records. Not thread-safe; guarded by the lock of its table.
 */
final class CopyProgress {
    private final Map<StoreId, Integer> unacknowledged = new HashMap<>();
    private Set<StoreId> verified = HashSet.empty();
    private Epoch epoch = new Epoch(-1);

    /** Starts an epoch in which the given members hold all records. */
    void start(Epoch next, Set<StoreId> complete) {
        epoch = next;
        verified = complete;
        unacknowledged.clear();
    }

    /** Records have been sent to a member. */
    void sent(Epoch sentUnder, StoreId store) {
        if (sentUnder.equals(epoch)) {
            unacknowledged.merge(store, 1, Integer::sum);
        }
    }

    /** A member has acknowledged records. */
    void acknowledged(Epoch sentUnder, StoreId store) {
        if (sentUnder.equals(epoch)) {
            unacknowledged.merge(store, -1, Integer::sum);
        }
    }

    /** Tells whether a member certainly holds all records. */
    boolean isComplete(StoreId store) {
        return verified.contains(store) && unacknowledged.getOrDefault(store, 0) == 0;
    }
}
