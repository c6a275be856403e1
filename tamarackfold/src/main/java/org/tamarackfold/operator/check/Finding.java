package org.tamarackfold.operator.check;

/**
 * Something in a release that its operators should change.
 *
 * @param severity what happens when the release is put in force unchanged
 * @param subject the entry of the release, such as {@code route chat}
 * @param message the field and what is wrong with it; never a key
 */
public record Finding(Severity severity, String subject, String message) {
    /** What happens when a release with a finding is put in force. */
    public enum Severity {
        /** Hosts adopt the release, but an entry of it has no effect or contradicts another one. */
        WARNING,
        /** Hosts do not adopt the release. */
        ERROR
    }

    static Finding warning(String subject, String message) {
        return new Finding(Severity.WARNING, subject, message);
    }

    /** Returns a finding because of which hosts do not adopt the release. */
    public static Finding error(String subject, String message) {
        return new Finding(Severity.ERROR, subject, message);
    }
}
