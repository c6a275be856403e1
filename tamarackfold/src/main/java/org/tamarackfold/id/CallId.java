package org.tamarackfold.id;

/**
 * Identifies a call; when a caller retries a call, the retry has another id.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record CallId(String value) implements Comparable<CallId> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
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
