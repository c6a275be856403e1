package org.tamarackfold.id;

/**
 * Identifies a release note.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record NoteId(String value) implements Comparable<NoteId> {
    /** Validates the text form. */
    public NoteId {
        IdentifierSyntax.require("NoteId", value);
    }

    @Override
    public int compareTo(NoteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
