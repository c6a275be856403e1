package org.tamarackfold.id;

/**
 * Identifies an endpoint: one model engine, application engine or tool service instance.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Validates the text form. */
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
