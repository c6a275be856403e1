package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;

/**
 * Which storage hosts hold which shard.
 *
 * @param views one view a shard, by index
 */
public record Layout(Vector<View> views) {
    /** Returns the view of a shard. */
    public View view(ShardId shard) {
        return views.get(shard.value());
    }

    /** Returns the shard that holds the budget of a program. */
    public ShardId shardOf(ProgramId program) {
        return shardOfHash(program.value().hashCode());
    }

    /** Returns the shard that holds the history of a turn. */
    public ShardId shardOf(CallId turn) {
        return shardOfHash(turn.value().hashCode());
    }

    private ShardId shardOfHash(int hash) {
        int spread = hash * 0x9E3779B9;
        return new ShardId(Math.floorMod(spread >>> 8, views.size()));
    }

    /** Returns this layout with some views replaced. */
    public Layout with(Iterable<View> changed) {
        Vector<View> next = views;
        for (View view : changed) {
            next = next.update(view.shard().value(), view);
        }
        return new Layout(next);
    }
}
