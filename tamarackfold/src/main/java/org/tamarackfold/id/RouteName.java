package org.tamarackfold.id;

/**
 * Identifies a route by its name in the release.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record RouteName(String value) implements Comparable<RouteName> {
    /** Validates the text form. */
    public RouteName {
        IdentifierSyntax.require("RouteName", value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
