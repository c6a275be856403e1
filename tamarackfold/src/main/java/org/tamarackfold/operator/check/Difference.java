package org.tamarackfold.operator.check;

/**
 * A change that a release makes to the version in force.
 *
 * @param subject the entry of the release, such as {@code customer acme}
 * @param message what changes; never a key
 */
public record Difference(String subject, String message) {}
