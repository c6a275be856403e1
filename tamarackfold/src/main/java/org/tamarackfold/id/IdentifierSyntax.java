package org.tamarackfold.id;

import java.util.regex.Pattern;

/** Validation of the syntax that all textual identifiers share. */
final class IdentifierSyntax {
    private static final Pattern SYNTAX = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private IdentifierSyntax() {}

    static void require(String type, String value) {
        if (value == null || !SYNTAX.matcher(value).matches()) {
            throw new IllegalArgumentException(type + " is malformed: " + value);
        }
    }
}
