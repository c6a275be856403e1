package org.tamarackfold.id;

/**
 * Identifies a shard of the durable program state (turn histories and token budgets).
 *
 * @param value the index of the shard, from 0
 */
public record ShardId(int value) implements Comparable<ShardId> {
    /** Rejects negative values with an {@link IllegalArgumentException}. */
    public ShardId {
        if (value < 0) {
            throw new IllegalArgumentException("ShardId is negative: " + value);
        }
    }

    @Override
    public int compareTo(ShardId other) {
        return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
