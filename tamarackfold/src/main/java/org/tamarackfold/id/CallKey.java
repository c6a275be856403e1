package org.tamarackfold.id;

/**
 * Identifies a call within its program; the same for every attempt of that call.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record CallKey(String value) implements Comparable<CallKey> {
    /** Validates the text form. */
    public CallKey {
        IdentifierSyntax.require("CallKey", value);
    }

    @Override
    public int compareTo(CallKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
