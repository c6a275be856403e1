package org.tamarackfold.id;

/**
 * Identifies a conversation, which is a sequence of turns of a program.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record SessionId(String value) implements Comparable<SessionId> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
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
