package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/**
 * The members of a shard during one epoch. Every confirmed record is held by the primary and by
 * enough other members to form a write quorum. Any set of members that is larger than the number of
 * spare members therefore holds every confirmed record on at least one of them.
 *
 * @param shard the shard
 * @param epoch the epoch; it increases with every new view of the shard
 * @param members the members; the first one is the primary
 */
public record View(ShardId shard, Epoch epoch, Vector<StorageHost> members) {
    /** Returns the primary. */
    public StorageHost primary() {
        return members.head();
    }

    /** Returns whether the primary has the given store. */
    public boolean hasPrimary(StoreId store) {
        return primary().store().equals(store);
    }

    /** Returns whether a member has the given store. */
    public boolean contains(StoreId store) {
        return members.exists(member -> member.store().equals(store));
    }

    /** Returns the next view of the shard, with the given members and the next epoch. */
    public View withMembers(Vector<StorageHost> newMembers) {
        return new View(shard, epoch.next(), newMembers);
    }
}
