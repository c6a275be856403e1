package org.tamarackfold.id;

/**
 * Names an availability zone.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
    public AvailabilityZone {
        IdentifierSyntax.require("AvailabilityZone", value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
