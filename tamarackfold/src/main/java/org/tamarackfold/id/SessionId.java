package org.tamarackfold.id;

/**
 * Identifies one line of turns of a program.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record SessionId(String value) implements Comparable<SessionId> {
    /** Validates the text form. */
    public SessionId {
        IdentifierSyntax.require("SessionId", value);
    }

    @Override
    public int compareTo(SessionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
