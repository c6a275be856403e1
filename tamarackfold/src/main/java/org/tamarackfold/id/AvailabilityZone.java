package org.tamarackfold.id;

/**
 * Names an availability zone.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    /** Validates the text form. */
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
