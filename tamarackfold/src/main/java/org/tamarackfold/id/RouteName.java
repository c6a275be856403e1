package org.tamarackfold.id;

/**
 * Identifies a route by its name in the release.
 *
 * @param value 1 to 128 ASCII letters, digits, dots, underscores, colons and hyphens
 */
public record RouteName(String value) implements Comparable<RouteName> {
    /** Rejects other text with an {@link IllegalArgumentException}. */
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
