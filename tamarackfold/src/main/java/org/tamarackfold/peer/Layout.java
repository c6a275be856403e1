package org.tamarackfold.peer;

import io.vavr.collection.Vector;
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

    /**
     * Returns the shard that holds the budget and the turns of a program, so that a program depends
     * on the members of one shard only.
     */
    public ShardId shardOf(ProgramId program) {
        int spread = program.value().hashCode() * 0x9E3779B9;
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
