package org.tamarackfold.peer;

/**
 * What one finished call showed about an endpoint.
 *
 * @param firstTokenMillis from dispatch to the first token, in milliseconds
 * @param totalMillis from dispatch to the end, in milliseconds
 * @param promptTokens tokens of the prompt
 * @param cachedTokens tokens of the prompt that the engine had cached
 * @param generatedTokens tokens generated
 * @param succeeded whether the call ended with an answer
 */
public record EndpointObservation(
        long firstTokenMillis,
        long totalMillis,
        long promptTokens,
        long cachedTokens,
        long generatedTokens,
        boolean succeeded) {}
