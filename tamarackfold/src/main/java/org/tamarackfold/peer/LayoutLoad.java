package org.tamarackfold.peer;

import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.StoreId;

/**
 * Counts for each storage host the shards of which it is a member and those of which it is the
 * primary. Not thread-safe.
 */
final class LayoutLoad {
    private final Map<StoreId, Integer> shardCounts = new HashMap<>();
    private final Map<StoreId, Integer> primaryCounts = new HashMap<>();

    LayoutLoad(Layout layout) {
        for (View view : layout.views()) {
            view.members().forEach(member -> shardCounts.merge(member.store(), 1, Integer::sum));
            primaryCounts.merge(view.primary().store(), 1, Integer::sum);
        }
    }

    int shardCount(StorageHost storageHost) {
        return shardCounts.getOrDefault(storageHost.store(), 0);
    }

    int primaryCount(StorageHost storageHost) {
        return primaryCounts.getOrDefault(storageHost.store(), 0);
    }

    /** Adds a planned change to the counts, so that later decisions of the same round see it. */
    void add(LayoutPlanner.Change change) {
        change.joiners().forEach(joiner -> shardCounts.merge(joiner.store(), 1, Integer::sum));
        primaryCounts.merge(change.current().primary().store(), -1, Integer::sum);
        primaryCounts.merge(change.next().primary().store(), 1, Integer::sum);
    }
}
