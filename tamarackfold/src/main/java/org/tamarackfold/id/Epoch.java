package org.tamarackfold.id;

/**
 * Number of a view of a shard; increases by one with every new view, also when only the order of
 * the members, and so the primary, or nothing but the epoch changes.
 *
 * @param value from 1; -1 means no epoch
 */
public record Epoch(long value) implements Comparable<Epoch> {
    /** Returns the epoch that follows this one. */
    public Epoch next() {
        return new Epoch(value + 1);
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
