package org.tamarackfold.id;

/**
 * Identifies a shard of the durable program state.
 *
 * @param value the index, from 0
 */
public record ShardId(int value) implements Comparable<ShardId> {
    /** Validates the range. */
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
