package org.tamarackfold.id;

/**
 * Identifies one attempt of a caller to have a call answered.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record CallId(String value) implements Comparable<CallId> {
    /** Validates the text form. */
    public CallId {
        IdentifierSyntax.require("CallId", value);
    }

    @Override
    public int compareTo(CallId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
