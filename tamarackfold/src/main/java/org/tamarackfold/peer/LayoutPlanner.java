package org.tamarackfold.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Predicate;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/** Decides which storage hosts hold which shards. Holds no state. */
public final class LayoutPlanner {
    private final int copies;

    /**
     * Creates a planner.
     *
     * @param toleratedLosses the storage hosts whose simultaneous loss must lose nothing
     */
    public LayoutPlanner(int toleratedLosses) {
        this.copies = toleratedLosses + 1;
    }

    /** Returns the number of copies of each record. */
    public int copies() {
        return copies;
    }

    /**
     * A change of the members of a shard.
     *
     * @param current the view in force
     * @param kept the members that stay; the first one becomes the primary
     * @param joiners the hosts that join once they hold all records
     */
    public record Change(View current, Vector<Member> kept, Vector<Member> joiners) {
        /** Returns the view that follows. */
        public View next() {
            return current.withMembers(kept.appendAll(joiners));
        }
    }

    /** Returns the first layout; none when there are too few hosts for all copies. */
    public Option<Layout> initial(Set<Member> hosts, int shardCount) {
        if (hosts.size() < copies) {
            return Option.none();
        }
        Vector<Member> ordered = interleaveZones(hosts);
        return Option.some(
                new Layout(Vector.range(0, shardCount).map(index -> firstView(index, ordered))));
    }

    private View firstView(int index, Vector<Member> ordered) {
        // The distance between the members of a shard varies, so that the shards of a lost host
        // move to several others.
        int stride = 1 + (index / ordered.size()) % Math.max(1, ordered.size() - 1);
        Vector<Member> rotated =
                Vector.range(0, ordered.size())
                        .map(i -> ordered.get(Math.floorMod(index + i * stride, ordered.size())))
                        .appendAll(ordered)
                        .distinct();
        Vector<Member> members = Vector.empty();
        while (members.size() < copies) {
            Member next = inAnotherZone(rotated, members);
            members = members.append(next);
            rotated = rotated.remove(next);
        }
        return new View(new ShardId(index), new Epoch(1), members);
    }

    /** Returns the first candidate outside of the zones in use, or else the first one. */
    private static Member inAnotherZone(Vector<Member> candidates, Vector<Member> members) {
        return candidates
                .find(c -> !members.exists(m -> m.zone().equals(c.zone())))
                .getOrElse(candidates::head);
    }

    /** Orders hosts so that neighbours are in different availability zones where possible. */
    private static Vector<Member> interleaveZones(Set<Member> hosts) {
        Map<String, Vector<Member>> zones =
                Vector.ofAll(hosts).sortBy(Member::host).groupBy(member -> member.zone().value());
        Vector<Member> ordered = Vector.empty();
        for (int row = 0; ordered.size() < hosts.size(); row++) {
            for (String zone : zones.keySet().toVector().sorted()) {
                Vector<Member> members = zones.get(zone).get();
                if (row < members.size()) {
                    ordered = ordered.append(members.get(row));
                }
            }
        }
        return ordered;
    }

    /**
     * Returns the changes that a host has to bring about: those of shards whose members are lost or
     * retiring, and of which it is the first member that is not lost.
     *
     * @param layout the layout in force
     * @param own the files of the deciding host
     * @param hosts the registered storage hosts
     * @param lost tells whether a host counts as lost
     * @param retiring the hosts that are being emptied
     */
    public Vector<Change> changes(
            Layout layout,
            StoreId own,
            Set<Member> hosts,
            Predicate<Member> lost,
            Set<HostId> retiring) {
        Map<StoreId, Integer> load = load(layout);
        Vector<Change> changes = Vector.empty();
        for (View view : layout.views()) {
            Vector<Member> alive = view.members().filter(lost.negate());
            if (alive.isEmpty() || !alive.head().store().equals(own)) {
                continue;
            }
            Vector<Member> kept = alive.reject(member -> retiring.contains(member.host()));
            if (kept.size() == view.members().size() && kept.size() >= copies) {
                continue;
            }
            Vector<Member> joiners = joiners(view, kept, hosts, lost, retiring, load);
            if (kept.size() + joiners.size() < copies) {
                continue;
            }
            for (Member joiner : joiners) {
                load = load.put(joiner.store(), load.getOrElse(joiner.store(), 0) + 1);
            }
            changes = changes.append(new Change(view, kept, joiners));
        }
        return changes;
    }

    private static Map<StoreId, Integer> load(Layout layout) {
        Map<StoreId, Integer> load = HashMap.empty();
        for (Member member : layout.views().flatMap(View::members)) {
            load = load.put(member.store(), load.getOrElse(member.store(), 0) + 1);
        }
        return load;
    }

    private Vector<Member> joiners(
            View view,
            Vector<Member> kept,
            Set<Member> hosts,
            Predicate<Member> lost,
            Set<HostId> retiring,
            Map<StoreId, Integer> load) {
        Vector<Member> chosen = Vector.empty();
        Vector<Member> candidates =
                Vector.ofAll(hosts)
                        .reject(member -> view.contains(member.store()))
                        .reject(member -> retiring.contains(member.host()))
                        .reject(lost)
                        .sortBy(member -> load.getOrElse(member.store(), 0));
        while (kept.size() + chosen.size() < copies && candidates.nonEmpty()) {
            Vector<Member> present = kept.appendAll(chosen);
            Member next = inAnotherZone(candidates, present);
            chosen = chosen.append(next);
            candidates = candidates.remove(next);
        }
        return chosen;
    }
}
