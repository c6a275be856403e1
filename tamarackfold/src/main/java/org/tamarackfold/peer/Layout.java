package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;

/**
 * The assignment of shards to storage hosts.
 *
 * @param views one view for each shard; the index is the value of the {@link ShardId}
 */
public record Layout(Vector<View> views) {
    /** Returns the view of a shard, which must be one of this layout. */
    public View view(ShardId shard) {
        return views.get(shard.value());
    }

    /**
     * Returns the shard that holds the budget and all turns of a program. Keeping them in one shard
     * makes a program depend on the members of that shard only.
     */
    public ShardId shardOf(ProgramId program) {
        int hash = program.value().hashCode() * 0x9E3779B9;
        return new ShardId(Math.floorMod(hash >>> 8, views.size()));
    }

    /** Returns a layout in which the given views replace those of the same shards. */
    public Layout with(Iterable<View> replacements) {
        Vector<View> updated = views;
        for (View view : replacements) {
            updated = updated.update(view.shard().value(), view);
        }
        return new Layout(updated);
    }
}
