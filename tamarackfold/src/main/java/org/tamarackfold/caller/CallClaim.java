package org.tamarackfold.caller;

import org.tamarackfold.id.BranchId;
import org.tamarackfold.id.CallKey;

/**
 * Record of a call, made at a majority of the replica set before the call is dispatched.
 *
 * @param key the call
 * @param branch the branch it belongs to
 * @param sequence its position in the branch, from 0
 * @param fingerprint digest of the request, so that a key is not reused for another request
 * @param reservedTokens the most that the call can spend, in tokens
 * @param idempotent whether the call may run again
 * @param state what is known of its outcome
 */
public record CallClaim(
        CallKey key,
        BranchId branch,
        long sequence,
        HistoryDigest fingerprint,
        long reservedTokens,
        boolean idempotent,
        State state) {

    /** What is known of the outcome of a call. */
    public sealed interface State {
        /** Dispatched or about to be; no outcome known. */
        record Pending() implements State {}

        /** Surely not run; the reservation is returned. */
        record Voided() implements State {}

        /**
         * Finished.
         *
         * @param spentTokens what the call spent, in tokens
         * @param digest the history digest after the answer
         * @param answer the whole answer; empty text when it was not kept
         */
        record Settled(long spentTokens, HistoryDigest digest, String answer) implements State {}

        /** May have run; never runs again and counts as spent in full. */
        record Unknown() implements State {}
    }

    /** Returns this claim in another state. */
    public CallClaim withState(State next) {
        return new CallClaim(key, branch, sequence, fingerprint, reservedTokens, idempotent, next);
    }

    /** Returns what this claim counts against the budget, in tokens. */
    public long chargedTokens() {
        return switch (state) {
            case State.Pending() -> reservedTokens;
            case State.Unknown() -> reservedTokens;
            case State.Voided() -> 0;
            case State.Settled(long spent, HistoryDigest _, String _) -> spent;
        };
    }
}
