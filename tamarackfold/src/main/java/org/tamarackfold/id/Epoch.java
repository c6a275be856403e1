package org.tamarackfold.id;

/**
 * Configuration epoch of a shard; incremented with every change of its members.
 *
 * @param value from 0
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
