package org.tamarackfold.id;

/**
 * Identifies a tenant.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record TenantId(String value) implements Comparable<TenantId> {
    /** Validates the text form. */
    public TenantId {
        IdentifierSyntax.require("TenantId", value);
    }

    @Override
    public int compareTo(TenantId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
