package org.tamarackfold.id;

/**
 * Identifies a branch of a program: the main line or one sub-agent.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record BranchId(String value) implements Comparable<BranchId> {
    /** The main line of a program. */
    public static final BranchId MAIN = new BranchId("main");

    /** Validates the text form. */
    public BranchId {
        IdentifierSyntax.require("BranchId", value);
    }

    @Override
    public int compareTo(BranchId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
