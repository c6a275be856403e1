package org.tamarackfold.caller.http;

import io.undertow.util.HttpString;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;

/**
 * Names of the HTTP headers that carry the metadata of calls. Each component except the last is the
 * name of one header.
 *
 * @param callId carries the id of the call, which is new for each retry by the caller
 * @param deadline carries how long the caller waits, in milliseconds
 * @param program carries the id of the program
 * @param session carries the id of the conversation
 * @param tokenBudget carries the tokens that all turns of the program together may generate
 * @param tokenUsage carries the prompt tokens and the maximum of output tokens of the turn,
 *     separated by a comma
 * @param parentTurn carries the id of the turn whose history this turn continues
 * @param promptParts carries the parts of the prompt with their sizes, separated by commas
 * @param affinityKey carries the affinity key, which calls that concern the same object share
 * @param expectedEndpoint carries the id of the only endpoint that may run the call
 * @param signature set in the responses of endpoints; a success without it comes from something
 *     else that listens at the address
 * @param notRun set in the response of an endpoint that has not run the call
 * @param rateLimit set in the responses of an endpoint that limits the calls a second that it takes
 *     from all hosts together
 * @param leaving set to 1 in all responses of an endpoint that is leaving
 * @param lastEventId carries the id of the last event of a stream that the caller has received,
 *     when it resumes the stream
 * @param resumes carries the id of the call that brought the first event of a resumed stream
 * @param customer carries the name of the customer to endpoints
 * @param programPriority carries the order in which an endpoint admits calls; 0 is the first
 * @param programDeadline carries the time until the program should be finished, in milliseconds
 * @param lengthHint carries the caller's estimate of the output tokens
 * @param reserved headers that only entry hosts may set; removed from the requests of callers
 */
public record CallHeaderNames(
        HttpString callId,
        HttpString deadline,
        HttpString program,
        HttpString session,
        HttpString tokenBudget,
        HttpString tokenUsage,
        HttpString parentTurn,
        HttpString promptParts,
        HttpString affinityKey,
        HttpString expectedEndpoint,
        HttpString signature,
        HttpString notRun,
        HttpString rateLimit,
        HttpString leaving,
        HttpString lastEventId,
        HttpString resumes,
        HttpString customer,
        HttpString programPriority,
        HttpString programDeadline,
        HttpString lengthHint,
        Set<HttpString> reserved) {
    /** Header names of tamarackfold's own protocol; a platform adapter may use others. */
    public static final CallHeaderNames DEFAULT =
            new CallHeaderNames(
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
                    new HttpString("Answer-Signature"),
                    new HttpString("Not-Run"),
                    new HttpString("Rate-Limit"),
                    new HttpString("Endpoint-Leaving"),
                    new HttpString("Last-Event-Id"),
                    new HttpString("Resumed-Call"),
                    new HttpString("Customer"),
                    new HttpString("Program-Priority"),
                    new HttpString("Program-Deadline-Ms"),
                    new HttpString("Length-Hint"),
                    HashSet.of(
                            new HttpString("Expected-Endpoint"),
                            new HttpString("Customer"),
                            new HttpString("Program-Priority")));
}
