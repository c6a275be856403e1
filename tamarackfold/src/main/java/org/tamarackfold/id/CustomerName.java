package org.tamarackfold.id;

/**
 * Names a customer of the deployment; calls with one of its keys belong to it.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens, so that it is
 *     valid as the value of a header
 */
public record CustomerName(String value) implements Comparable<CustomerName> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
    public CustomerName {
        IdentifierSyntax.require("CustomerName", value);
    }

    @Override
    public int compareTo(CustomerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
