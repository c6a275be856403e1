package org.tamarackfold.id;

/**
 * Identifies a program across all hosts.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record ProgramId(String value) implements Comparable<ProgramId> {
    /** Validates the text form. */
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
