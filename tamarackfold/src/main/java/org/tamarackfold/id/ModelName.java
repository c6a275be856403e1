package org.tamarackfold.id;

/**
 * Names a model.
 *
 * @param value the text form, 1 to 128 characters out of letters, digits, dot, underscore, colon
 *     and hyphen
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Validates the text form. */
    public ModelName {
        IdentifierSyntax.require("ModelName", value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
