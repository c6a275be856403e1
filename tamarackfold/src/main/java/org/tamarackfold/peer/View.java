package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/**
 * The members of a shard under one epoch. The primary holds every confirmed record, and so many
 * others that any members which outnumber the spare ones hold them all between them.
 *
 * @param shard the shard
 * @param epoch increases with every change of the members
 * @param members the members; the first one is the primary
 */
public record View(ShardId shard, Epoch epoch, Vector<Member> members) {
    /** Returns the primary. */
    public Member primary() {
        return members.head();
    }

    /** Tells whether the files of a host are those of the primary. */
    public boolean hasPrimary(StoreId store) {
        return primary().store().equals(store);
    }

    /** Tells whether the files of a host belong to this view. */
    public boolean contains(StoreId store) {
        return members.exists(member -> member.store().equals(store));
    }

    /** Returns the view that follows with other members. */
    public View withMembers(Vector<Member> next) {
        return new View(shard, epoch.next(), next);
    }
}
