package org.tamarackfold.caller.http;

import io.undertow.util.HttpString;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;

/**
 * Names of the headers by which callers and endpoints describe calls.
 *
 * @param callId the id of the attempt of the caller
 * @param deadline how long the caller waits, in milliseconds
 * @param program the program
 * @param session the conversation
 * @param tokenBudget the tokens that all turns of the program may generate
 * @param tokenUsage the prompt tokens and the most output tokens of the turn
 * @param parentTurn the turn that this one continues
 * @param promptParts the parts of the prompt with their sizes
 * @param affinity shared by calls concerning the same object
 * @param expectedEndpoint names the only endpoint that may run the call
 * @param notExecuted set by an endpoint that has not run the call
 * @param reserved headers that only the system may set; removed from calls
 */
public record CallHeaders(
        HttpString callId,
        HttpString deadline,
        HttpString program,
        HttpString session,
        HttpString tokenBudget,
        HttpString tokenUsage,
        HttpString parentTurn,
        HttpString promptParts,
        HttpString affinity,
        HttpString expectedEndpoint,
        HttpString notExecuted,
        Set<HttpString> reserved) {
    /** Names used between the product's own callers and endpoints. */
    public static final CallHeaders OWN =
            new CallHeaders(
                    new HttpString("Call-Id"),
                    new HttpString("Call-Deadline-Ms"),
                    new HttpString("Program-Id"),
                    new HttpString("Conversation-Id"),
                    new HttpString("Program-Token-Budget"),
                    new HttpString("Token-Usage"),
                    new HttpString("Parent-Call"),
                    new HttpString("Prompt-Parts"),
                    new HttpString("Affinity"),
                    new HttpString("Expected-Endpoint"),
                    new HttpString("Not-Run"),
                    HashSet.of(new HttpString("Expected-Endpoint")));
}
