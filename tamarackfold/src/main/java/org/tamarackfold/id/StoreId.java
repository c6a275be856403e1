package org.tamarackfold.id;

/**
 * Identifies the data files of a storage host; a host that starts with an empty disk creates a new
 * id.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record StoreId(String value) implements Comparable<StoreId> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
    public StoreId {
        IdentifierSyntax.require("StoreId", value);
    }

    @Override
    public int compareTo(StoreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
