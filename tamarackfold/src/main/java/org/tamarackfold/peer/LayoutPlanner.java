package org.tamarackfold.peer;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/** Decides which storage hosts hold which shards. Stateless. */
public final class LayoutPlanner {
    /**
     * Members of a shard beyond the write quorum. With one of them, a shard can still confirm
     * records while one member is unreachable and its view has not been changed yet.
     */
    private static final int SPARE_MEMBERS = 1;

    /**
     * Maximum number of changes per round in which every current member stays. Transferring the
     * records of one shard takes about 10 ms of processor time, which a host that has just started
     * also needs for requests.
     */
    private static final int MAXIMUM_CHANGES_KEEPING_MEMBERS = 4;

    /**
     * The primary of a shard moves to another member when that member is the primary of at least
     * this many fewer shards.
     */
    private static final int PRIMARY_REBALANCE_THRESHOLD = 2;

    private final int writeQuorum;

    /**
     * Creates a planner.
     *
     * @param toleratedLosses the number of storage hosts that may be lost at the same time without
     *     losing a confirmed record
     */
    public LayoutPlanner(int toleratedLosses) {
        this.writeQuorum = toleratedLosses + 1;
    }

    /** Returns the write quorum: the number of disks that must hold a record to confirm it. */
    public int writeQuorum() {
        return writeQuorum;
    }

    /**
     * A change of the members of a shard.
     *
     * @param current the current view
     * @param kept the members that stay; the first one becomes the primary
     * @param joiners the hosts that become members after all records have been copied to them
     * @param sources the members from which the deciding host must collect records to take over;
     *     empty when it is the primary
     */
    public record Change(
            View current,
            Vector<StorageHost> kept,
            Vector<StorageHost> joiners,
            Vector<StorageHost> sources) {
        /** Returns whether every member of the current view is a member of the next one. */
        public boolean keepsAllMembers() {
            return kept.size() == current.members().size();
        }

        /** Returns whether both views have the same members, in any order. */
        public boolean hasSameMembers() {
            return joiners.isEmpty() && keepsAllMembers();
        }

        /** Returns the view that results from this change. */
        public View next() {
            return current.withMembers(kept.appendAll(joiners));
        }
    }

    /**
     * Returns the initial layout, or none when there are fewer hosts than the write quorum needs.
     */
    public Option<Layout> initialLayout(Set<StorageHost> hosts, int shardCount) {
        if (hosts.size() < writeQuorum) {
            return Option.none();
        }
        Vector<StorageHost> ordered = interleaveZones(hosts);
        return Option.some(
                new Layout(Vector.range(0, shardCount).map(index -> initialView(index, ordered))));
    }

    private View initialView(int index, Vector<StorageHost> ordered) {
        // The stride varies between shards, so that the shards of a lost host move to several
        // other hosts instead of one.
        int stride = 1 + (index / ordered.size()) % Math.max(1, ordered.size() - 1);
        Vector<StorageHost> rotated =
                Vector.range(0, ordered.size())
                        .map(i -> ordered.get(Math.floorMod(index + i * stride, ordered.size())))
                        .appendAll(ordered)
                        .distinct();
        Vector<StorageHost> members =
                addMembers(Vector.empty(), rotated, writeQuorum + SPARE_MEMBERS);
        return new View(new ShardId(index), new Epoch(1), members);
    }

    /**
     * Adds candidates to the current members until the given size is reached, from availability
     * zones without a member where possible.
     */
    private static Vector<StorageHost> addMembers(
            Vector<StorageHost> current, Vector<StorageHost> candidates, int size) {
        Vector<StorageHost> members = current;
        Vector<StorageHost> remaining = candidates;
        while (members.size() < size && remaining.nonEmpty()) {
            StorageHost next = preferUnusedZone(remaining, members);
            members = members.append(next);
            remaining = remaining.remove(next);
        }
        return members;
    }

    /** Returns the first candidate in a zone without a member, or else the first candidate. */
    private static StorageHost preferUnusedZone(
            Vector<StorageHost> candidates, Vector<StorageHost> members) {
        return candidates
                .find(c -> !members.exists(m -> m.zone().equals(c.zone())))
                .getOrElse(candidates::head);
    }

    /** Orders hosts so that neighbours are in different availability zones where possible. */
    private static Vector<StorageHost> interleaveZones(Set<StorageHost> hosts) {
        Map<String, Vector<StorageHost>> zones =
                Vector.ofAll(hosts).sortBy(StorageHost::host).groupBy(host -> host.zone().value());
        Vector<StorageHost> ordered = Vector.empty();
        for (int rank = 0; ordered.size() < hosts.size(); rank++) {
            for (String zone : zones.keySet().toVector().sorted()) {
                Vector<StorageHost> zoneHosts = zones.get(zone).get();
                if (rank < zoneHosts.size()) {
                    ordered = ordered.append(zoneHosts.get(rank));
                }
            }
        }
        return ordered;
    }

    /** State of the cluster as the deciding host sees it; other hosts may see it differently. */
    public interface ClusterStatus {
        /** Returns whether a host has missed enough consecutive pings to be suspected. */
        boolean isSuspected(StorageHost host);

        /** Returns whether a host must be replaced, because it or its store is considered lost. */
        boolean isDead(StorageHost host);

        /**
         * Returns whether the shards of a host are to be moved to other hosts, because an operator
         * retires it or it is stopping.
         */
        boolean isDraining(StorageHost host);

        /**
         * Returns whether a view needs a new epoch even when its members stay, because a member has
         * ended the current one.
         */
        boolean needsNewEpoch(View view);
    }

    /**
     * Returns the changes that the deciding host must carry out. It decides for the shards of which
     * it is the first member that is not suspected: it replaces members that are lost or draining,
     * adds missing members, and moves primaries between members.
     *
     * @param layout the current layout
     * @param ownStore the store of the deciding host
     * @param hosts the registered storage hosts
     * @param status the state of the cluster as the deciding host sees it
     */
    public Vector<Change> planChanges(
            Layout layout, StoreId ownStore, Set<StorageHost> hosts, ClusterStatus status) {
        LayoutLoad load = new LayoutLoad(layout);
        PlanningRound round = new PlanningRound(ownStore, hosts, status, load);
        Vector<Change> changes = Vector.empty();
        int changesKeepingMembers = 0;
        for (View view : layout.views()) {
            Option<Change> change = round.planChange(view);
            if (change.isEmpty()) {
                continue;
            }
            if (change.get().keepsAllMembers()
                    && ++changesKeepingMembers > MAXIMUM_CHANGES_KEEPING_MEMBERS) {
                continue;
            }
            load.add(change.get());
            changes = changes.append(change.get());
        }
        return changes;
    }

    /** The input that all decisions of one call share. */
    private final class PlanningRound {
        private final StoreId ownStore;
        private final Set<StorageHost> hosts;
        private final ClusterStatus status;
        private final LayoutLoad load;

        PlanningRound(
                StoreId ownStore, Set<StorageHost> hosts, ClusterStatus status, LayoutLoad load) {
            this.ownStore = ownStore;
            this.hosts = hosts;
            this.status = status;
            this.load = load;
        }

        Option<Change> planChange(View view) {
            Vector<StorageHost> alive = view.members().reject(status::isSuspected);
            if (alive.isEmpty() || !alive.head().store().equals(ownStore)) {
                return Option.none();
            }
            Option<Change> change =
                    view.hasPrimary(ownStore) ? repair(view, alive) : takeOver(view, alive);
            return change.filter(c -> c.next().members().size() >= writeQuorum);
        }

        /**
         * Restores the number of members of a shard whose primary is this host. While the write
         * quorum is reachable, members that are only suspected are not replaced.
         */
        private Option<Change> repair(View view, Vector<StorageHost> alive) {
            boolean urgent =
                    alive.size() < writeQuorum
                            || status.needsNewEpoch(view)
                            || view.members().exists(m -> status.isDead(m) || status.isDraining(m));
            if (!urgent && alive.size() < view.members().size()) {
                return Option.none();
            }
            Change change =
                    withReplacements(view, alive, writeQuorum + SPARE_MEMBERS, Vector.empty());
            return change.hasSameMembers() && !status.needsNewEpoch(view)
                    ? rebalancePrimary(view)
                    : Option.some(change);
        }

        /**
         * Makes the member with the fewest primaries the primary, so that the loss of one host
         * interrupts few shards.
         */
        private Option<Change> rebalancePrimary(View view) {
            StorageHost leastLoaded = view.members().minBy(load::primaryCount).get();
            if (load.primaryCount(view.primary()) - load.primaryCount(leastLoaded)
                    < PRIMARY_REBALANCE_THRESHOLD) {
                return Option.none();
            }
            Vector<StorageHost> reordered = view.members().remove(leastLoaded).prepend(leastLoaded);
            return Option.some(new Change(view, reordered, Vector.empty(), Vector.empty()));
        }

        /**
         * Takes over with no more new members than the write quorum needs; the new primary adds the
         * spare members afterwards.
         */
        private Option<Change> takeOver(View view, Vector<StorageHost> alive) {
            if (alive.size() <= view.members().size() - writeQuorum) {
                // All members that hold a confirmed record may be among those that do not answer.
                return Option.none();
            }
            return Option.some(withReplacements(view, alive, writeQuorum, alive.tail()));
        }

        /** Keeps the members that are alive and not draining, and adds hosts up to a size. */
        private Change withReplacements(
                View view, Vector<StorageHost> alive, int size, Vector<StorageHost> sources) {
            Vector<StorageHost> kept = alive.reject(status::isDraining);
            Vector<StorageHost> candidates =
                    Vector.ofAll(hosts)
                            .reject(host -> view.contains(host.store()))
                            .reject(status::isDraining)
                            .reject(status::isSuspected)
                            .sortBy(load::shardCount);
            Vector<StorageHost> joiners = addMembers(kept, candidates, size).drop(kept.size());
            return new Change(view, kept, joiners, sources);
        }
    }
}
