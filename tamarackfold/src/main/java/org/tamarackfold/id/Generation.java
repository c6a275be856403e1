package org.tamarackfold.id;

/**
 * Number of a replica set of a program; a takeover increments it.
 *
 * @param value a non-negative number
 */
public record Generation(long value) implements Comparable<Generation> {
    /** Validates the range. */
    public Generation {
        if (value < 0) {
            throw new IllegalArgumentException("Generation is negative: " + value);
        }
    }

    /** Returns the next number. */
    public Generation next() {
        return new Generation(value + 1);
    }

    @Override
    public int compareTo(Generation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
