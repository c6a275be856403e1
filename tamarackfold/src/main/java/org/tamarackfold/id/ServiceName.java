package org.tamarackfold.id;

/**
 * Names a service, the group of endpoints that serve the same calls.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Validates the text form. */
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
