package org.tamarackfold.peer;

import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.StoreId;

/** How many shards each storage host is a member and the primary of. Not thread-safe. */
final class LayoutLoad {
    private final Map<StoreId, Integer> members = new HashMap<>();
    private final Map<StoreId, Integer> primaries = new HashMap<>();

    LayoutLoad(Layout layout) {
        for (View view : layout.views()) {
            view.members().forEach(member -> members.merge(member.store(), 1, Integer::sum));
            primaries.merge(view.primary().store(), 1, Integer::sum);
        }
    }

    int members(Member host) {
        return members.getOrDefault(host.store(), 0);
    }

    int primaries(Member host) {
        return primaries.getOrDefault(host.store(), 0);
    }

    /** Counts a change as made. */
    void add(LayoutPlanner.Change change) {
        change.joiners().forEach(joiner -> members.merge(joiner.store(), 1, Integer::sum));
        primaries.merge(change.current().primary().store(), -1, Integer::sum);
        primaries.merge(change.next().primary().store(), 1, Integer::sum);
    }
}
