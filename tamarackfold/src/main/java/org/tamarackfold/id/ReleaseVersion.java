package org.tamarackfold.id;

/**
 * Version of the release in force; only ever increases.
 *
 * @param value a non-negative number
 */
public record ReleaseVersion(long value) implements Comparable<ReleaseVersion> {
    /** Validates the range. */
    public ReleaseVersion {
        if (value < 0) {
            throw new IllegalArgumentException("ReleaseVersion is negative: " + value);
        }
    }

    /** Returns the next number. */
    public ReleaseVersion next() {
        return new ReleaseVersion(value + 1);
    }

    @Override
    public int compareTo(ReleaseVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
