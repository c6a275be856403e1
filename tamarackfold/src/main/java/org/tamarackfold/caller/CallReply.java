package org.tamarackfold.caller;

import org.tamarackfold.errors.Failure;

/** Reply to a call. */
public sealed interface CallReply {
    /** Returns the newest header of the program; the front end signs it into a token. */
    ProgramHeader header();

    /**
     * The whole answer.
     *
     * @param header the newest header
     * @param text the answer
     * @param digest the history digest after the answer
     * @param spentTokens what the call spent, in tokens
     */
    record Answered(ProgramHeader header, String text, HistoryDigest digest, long spentTokens)
            implements CallReply {}

    /**
     * No answer.
     *
     * @param header the newest header
     * @param failure the cause
     */
    record Refused(ProgramHeader header, Failure failure) implements CallReply {}
}
