package org.tamarackfold.id;

/**
 * Correlates an order to an endpoint with its results on one node.
 *
 * @param value a non-negative number
 */
public record DispatchId(long value) implements Comparable<DispatchId> {
    /** Validates the range. */
    public DispatchId {
        if (value < 0) {
            throw new IllegalArgumentException("DispatchId is negative: " + value);
        }
    }

    /** Returns the next number. */
    public DispatchId next() {
        return new DispatchId(value + 1);
    }

    @Override
    public int compareTo(DispatchId other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
