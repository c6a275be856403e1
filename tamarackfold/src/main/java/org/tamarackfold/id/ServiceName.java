package org.tamarackfold.id;

/**
 * Names a service, which is a group of endpoints that can run the same calls.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
    public ServiceName {
        IdentifierSyntax.require("ServiceName", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
