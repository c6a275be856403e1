package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/**
 * Gives entry hosts access to the durable state of programs: token budgets and turn histories. The
 * futures never fail.
 */
public interface TurnHistory {
    /** The result of a reservation. */
    sealed interface Reservation {
        /**
         * The tokens are reserved, and the reservation is durable.
         *
         * @param origin the origin of the stream that is recorded durably; none if none was to be
         *     recorded or read, or if none is found
         */
        record Granted(Option<StreamOrigin> origin) implements Reservation {}

        /**
         * The shard of the program lacks the turn that the call continues, or the call may not
         * continue it. The turn may be in another shard.
         *
         * @param mayBeReserved whether an earlier attempt may have reserved tokens, so that the
         *     turn has to be settled
         */
        record NoSuchTurn(boolean mayBeReserved) implements Reservation {}

        /** The reservation would exceed the budget; nothing is reserved. */
        record Exhausted() implements Reservation {}

        /**
         * No definite result was received in time; the tokens may be reserved.
         *
         * @param reason the cause, for logs
         */
        record Unavailable(String reason) implements Reservation {}

        /**
         * The storage hosts are overloaded, and no request has reached them or they have rejected
         * it: there is nothing to settle.
         *
         * @param reason the cause, for the log
         */
        record Refused(String reason) implements Reservation {}
    }

    /** The result of a lookup of the history of a turn. */
    sealed interface Lookup {
        /**
         * The history was found.
         *
         * @param text the inputs and outputs of the turn and all turns before it
         */
        record Found(byte[] text) implements Lookup {}

        /** There is no such turn for this call, or its retention has ended. */
        record Absent() implements Lookup {}

        /**
         * No definite result was received in time; the turn may exist.
         *
         * @param reason the cause, for logs
         */
        record Unavailable(String reason) implements Lookup {}
    }

    /** The result of storing a finished turn. */
    sealed interface StoreResult {
        /** The history is on enough disks to survive the tolerated losses; the turn is settled. */
        record Settled() implements StoreResult {}

        /**
         * The history is on enough disks; the turn is not settled, because the storage host is of
         * an earlier version.
         */
        record Stored() implements StoreResult {}

        /** It is not known whether the history or the settlement is durable. */
        record NotConfirmed() implements StoreResult {}
    }

    /**
     * Reserves tokens for one turn, and records or reads the origin of its stream. A further
     * reservation for the same turn reserves no further tokens.
     *
     * @param program the program
     * @param turn the turn
     * @param tokens the largest number of tokens that the turn may generate
     * @param budgetTokens the largest number of tokens that all turns of the program may generate
     * @param stream whether the origin of an event stream is recorded or read as well
     * @param continued the turn that the call must be able to continue, in the shard of the
     *     program; none if this is not to be checked. Hosts of earlier versions do not check it
     * @param timeout the time after which the result is {@link Reservation.Unavailable}
     */
    CompletableFuture<Reservation> reserve(
            ProgramId program,
            CallId turn,
            long tokens,
            long budgetTokens,
            StreamStart stream,
            Option<ContinuedTurn> continued,
            Duration timeout);

    /** Reserves tokens for a turn without checking which turn it continues. */
    default CompletableFuture<Reservation> reserve(
            ProgramId program,
            CallId turn,
            long tokens,
            long budgetTokens,
            StreamStart stream,
            Duration timeout) {
        return reserve(program, turn, tokens, budgetTokens, stream, Option.none(), timeout);
    }

    /**
     * Replaces the reservation of a turn by the number of tokens that reached the caller. Returns
     * at once; the request is retried in the background for a few seconds.
     */
    void settle(ProgramId program, CallId turn, long tokens);

    /**
     * Reads the history up to and including a turn.
     *
     * @param program the program that continues from the turn, usually the one to which it belongs
     * @param turn the turn
     * @param access which turns the call may continue; others are absent for it
     * @param timeout the time after which the result is {@link Lookup.Unavailable}
     */
    CompletableFuture<Lookup> lookUp(
            ProgramId program, CallId turn, TurnAccess access, Duration timeout);

    /**
     * Stores the history of a finished turn durably, and settles the turn if it says so, so that a
     * turn that continues it finds no outstanding reservation. If that fails, the turn has to be
     * settled by {@link #settle}.
     *
     * @param program the program to which the turn belongs
     * @param turn the turn and its history
     * @param timeout the time after which the result is {@link StoreResult.NotConfirmed}
     */
    CompletableFuture<StoreResult> store(ProgramId program, FinishedTurn turn, Duration timeout);
}
