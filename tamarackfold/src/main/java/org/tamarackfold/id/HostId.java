package org.tamarackfold.id;

/**
 * Identifies an entry host or storage host by the name in its settings.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record HostId(String value) implements Comparable<HostId> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
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
