package org.tamarackfold.id;

/**
 * Correlates a request of a caller with its reply on one node.
 *
 * @param value a non-negative number
 */
public record ExchangeId(long value) implements Comparable<ExchangeId> {
    /** Validates the range. */
    public ExchangeId {
        if (value < 0) {
            throw new IllegalArgumentException("ExchangeId is negative: " + value);
        }
    }

    /** Returns the next number. */
    public ExchangeId next() {
        return new ExchangeId(value + 1);
    }

    @Override
    public int compareTo(ExchangeId other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
