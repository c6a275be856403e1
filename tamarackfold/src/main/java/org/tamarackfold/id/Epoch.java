package org.tamarackfold.id;

/**
 * Number of a view of a shard; every change of its members increases it.
 *
 * @param value the number, from 0
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
