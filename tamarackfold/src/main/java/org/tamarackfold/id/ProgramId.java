package org.tamarackfold.id;

/**
 * Identifies a program across all hosts.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record ProgramId(String value) implements Comparable<ProgramId> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
    public ProgramId {
        IdentifierSyntax.require("ProgramId", value);
    }

    @Override
    public int compareTo(ProgramId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
