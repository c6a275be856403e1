package org.tamarackfold.peer;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/** Decides which storage hosts hold which shards. Holds no state. */
public final class LayoutPlanner {
    /**
     * Members of a shard beyond the copies that confirm a record, so that one host that is away
     * does not stop its shards until their views have changed.
     */
    private static final int SPARE_MEMBERS = 1;

    /**
     * Changes of one round that no loss requires. The records of a shard take some ten ms of
     * processor time, which a host that has just started needs for calls.
     */
    private static final int LEISURELY_CHANGES = 4;

    /** Difference in the number of shards from which a host gives the primary's part away. */
    private static final int PRIMARY_IMBALANCE = 2;

    private final int copies;

    /**
     * Creates a planner.
     *
     * @param toleratedLosses the storage hosts whose simultaneous loss must lose nothing
     */
    public LayoutPlanner(int toleratedLosses) {
        this.copies = toleratedLosses + 1;
    }

    /** Returns the number of disks that hold a confirmed record. */
    public int copies() {
        return copies;
    }

    /**
     * A change of the members of a shard.
     *
     * @param current the view in force
     * @param kept the members that stay; the first one becomes the primary
     * @param joiners the hosts that join once they hold all records
     * @param sources the members whose records the deciding host lacks; none at the primary
     */
    public record Change(
            View current, Vector<Member> kept, Vector<Member> joiners, Vector<Member> sources) {
        /** Tells whether every member of the present view is one of the next. */
        public boolean keepsAllMembers() {
            return kept.size() == current.members().size();
        }

        /** Tells whether the next view has the same members, in the same order or another one. */
        public boolean hasSameMembers() {
            return joiners.isEmpty() && keepsAllMembers();
        }

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
        Vector<Member> members = fill(Vector.empty(), rotated, copies + SPARE_MEMBERS);
        return new View(new ShardId(index), new Epoch(1), members);
    }

    /** Adds candidates to the present members up to a size, from other zones where possible. */
    private static Vector<Member> fill(
            Vector<Member> present, Vector<Member> candidates, int size) {
        Vector<Member> members = present;
        Vector<Member> left = candidates;
        while (members.size() < size && left.nonEmpty()) {
            Member next = inAnotherZone(left, members);
            members = members.append(next);
            left = left.remove(next);
        }
        return members;
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

    /** What the deciding host believes of the others. */
    public interface Beliefs {
        /** Tells whether a host does not answer. */
        boolean isSuspected(Member member);

        /** Tells whether a host is away for so long that others replace it. */
        boolean isGone(Member member);

        /** Tells whether a host is being emptied. */
        boolean isRetiring(Member member);

        /** Tells whether a view needs a new epoch although its members may stay. */
        boolean needsNewEpoch(View view);
    }

    /**
     * Returns the changes that a host has to bring about: those of shards whose members are lost or
     * retiring, and of which it is the first member that is not lost.
     *
     * @param layout the layout in force
     * @param own the files of the deciding host
     * @param hosts the registered storage hosts
     * @param beliefs what the deciding host believes of the others
     */
    public Vector<Change> changes(Layout layout, StoreId own, Set<Member> hosts, Beliefs beliefs) {
        LayoutLoad load = new LayoutLoad(layout);
        Round round = new Round(own, hosts, beliefs, load);
        Vector<Change> changes = Vector.empty();
        int leisurely = 0;
        for (View view : layout.views()) {
            Option<Change> change = round.change(view);
            if (change.isEmpty()) {
                continue;
            }
            if (change.get().keepsAllMembers() && ++leisurely > LEISURELY_CHANGES) {
                continue;
            }
            load.add(change.get());
            changes = changes.append(change.get());
        }
        return changes;
    }

    /** What all decisions of one check start from. */
    private final class Round {
        private final StoreId own;
        private final Set<Member> hosts;
        private final Beliefs beliefs;
        private final LayoutLoad load;

        Round(StoreId own, Set<Member> hosts, Beliefs beliefs, LayoutLoad load) {
            this.own = own;
            this.hosts = hosts;
            this.beliefs = beliefs;
            this.load = load;
        }

        Option<Change> change(View view) {
            Vector<Member> alive = view.members().reject(beliefs::isSuspected);
            if (alive.isEmpty() || !alive.head().store().equals(own)) {
                return Option.none();
            }
            Option<Change> change =
                    view.hasPrimary(own) ? repair(view, alive) : takeOver(view, alive);
            return change.filter(c -> c.next().members().size() >= copies);
        }

        /** Replaces members at leisure while the others suffice to confirm records. */
        private Option<Change> repair(View view, Vector<Member> alive) {
            boolean urgent =
                    alive.size() < copies
                            || beliefs.needsNewEpoch(view)
                            || view.members()
                                    .exists(m -> beliefs.isGone(m) || beliefs.isRetiring(m));
            if (!urgent && alive.size() < view.members().size()) {
                return Option.none();
            }
            Change change = refilled(view, alive, copies + SPARE_MEMBERS, Vector.empty());
            return change.hasSameMembers() && !beliefs.needsNewEpoch(view)
                    ? balance(view)
                    : Option.some(change);
        }

        /** Makes another member the primary, so that the loss of one host stops few shards. */
        private Option<Change> balance(View view) {
            Member lightest = view.members().minBy(load::primaries).get();
            if (load.primaries(view.primary()) - load.primaries(lightest) < PRIMARY_IMBALANCE) {
                return Option.none();
            }
            Vector<Member> reordered = view.members().remove(lightest).prepend(lightest);
            return Option.some(new Change(view, reordered, Vector.empty(), Vector.empty()));
        }

        /** Takes over with the fewest members; the new primary adds the others afterwards. */
        private Option<Change> takeOver(View view, Vector<Member> alive) {
            if (alive.size() <= view.members().size() - copies) {
                // A record may have been confirmed by members none of which is alive.
                return Option.none();
            }
            return Option.some(refilled(view, alive, copies, alive.tail()));
        }

        /** Keeps the members that are alive and not retiring, and adds others up to a size. */
        private Change refilled(View view, Vector<Member> alive, int size, Vector<Member> sources) {
            Vector<Member> kept = alive.reject(beliefs::isRetiring);
            Vector<Member> candidates =
                    Vector.ofAll(hosts)
                            .reject(member -> view.contains(member.store()))
                            .reject(beliefs::isRetiring)
                            .reject(beliefs::isSuspected)
                            .sortBy(load::members);
            Vector<Member> joiners = fill(kept, candidates, size).drop(kept.size());
            return new Change(view, kept, joiners, sources);
        }
    }
}
