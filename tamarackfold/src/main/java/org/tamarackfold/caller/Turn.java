package org.tamarackfold.caller;

/**
 * One turn of a conversation.
 *
 * @param role the speaker, such as {@code user}, {@code assistant} or {@code tool}
 * @param content the text
 */
public record Turn(String role, String content) {}
