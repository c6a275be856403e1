package org.tamarackfold.id;

/**
 * Identifies the software version that an endpoint runs, as its registration states it. Versions
 * have no order.
 *
 * @param value at most 128 characters
 */
public record SoftwareVersion(String value) {
    /** Version of endpoints whose registration states none. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    private static final int MAXIMUM_LENGTH = 128;

    /** Rejects longer text with an {@link IllegalArgumentException}. */
    public SoftwareVersion {
        if (value.length() > MAXIMUM_LENGTH) {
            throw new IllegalArgumentException("SoftwareVersion is longer than 128 characters");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
