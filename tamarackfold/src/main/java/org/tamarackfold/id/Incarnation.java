package org.tamarackfold.id;

/**
 * Number of a start of a host process; a restarted process has a greater one and no memory of the
 * earlier.
 *
 * @param value a non-negative number
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    /** Validates the range. */
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("Incarnation is negative: " + value);
        }
    }

    /** Returns the next number. */
    public Incarnation next() {
        return new Incarnation(value + 1);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
