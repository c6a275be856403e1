package org.tamarackfold.id;

/**
 * Version of a release; hosts adopt only releases with a higher version.
 *
 * @param value from 0
 */
public record ReleaseVersion(long value) implements Comparable<ReleaseVersion> {
    /** Rejects negative values with an {@link IllegalArgumentException}. */
    public ReleaseVersion {
        if (value < 0) {
            throw new IllegalArgumentException("ReleaseVersion is negative: " + value);
        }
    }

    /** Returns the version that follows this one. */
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
