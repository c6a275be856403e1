package org.tamarackfold.id;

/**
 * Identifies one set of files of a storage host; an empty disk gets a new one.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record StoreId(String value) implements Comparable<StoreId> {
    /** Validates the text form. */
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
