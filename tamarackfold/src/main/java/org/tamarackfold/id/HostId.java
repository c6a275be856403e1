package org.tamarackfold.id;

/**
 * Identifies an entry host by the name in its settings.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record HostId(String value) implements Comparable<HostId> {
    /** Validates the text form. */
    public HostId {
        IdentifierSyntax.require("HostId", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
