package org.tamarackfold.id;

/**
 * Identifies an endpoint, which is an instance of a model engine, application engine or tool
 * service.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
    public EndpointId {
        IdentifierSyntax.require("EndpointId", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
