package org.tamarackfold.id;

/**
 * Number taken by compare-and-swap that orders the holders of a lease.
 *
 * @param value a non-negative number
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
    /** Validates the range. */
    public FencingNumber {
        if (value < 0) {
            throw new IllegalArgumentException("FencingNumber is negative: " + value);
        }
    }

    /** Returns the next number. */
    public FencingNumber next() {
        return new FencingNumber(value + 1);
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
