package org.tamarackfold.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/** Durable state of programs as entry hosts use it: token budgets and turn histories. */
public interface TurnHistory {
    /** Result of a reservation. */
    sealed interface Reservation {
        /** The tokens are reserved durably. */
        record Granted() implements Reservation {}

        /** The budget does not hold them; nothing is reserved. */
        record Exhausted() implements Reservation {}

        /**
         * No certain answer could be had in time.
         *
         * @param reason for logs
         */
        record Unavailable(String reason) implements Reservation {}
    }

    /** Result of reading the history of a turn. */
    sealed interface Lookup {
        /**
         * The history.
         *
         * @param text the inputs and outputs of the turn and all turns before it
         */
        record Found(byte[] text) implements Lookup {}

        /** There is no such turn. */
        record Absent() implements Lookup {}

        /**
         * No certain answer could be had in time.
         *
         * @param reason for logs
         */
        record Unavailable(String reason) implements Lookup {}
    }

    /**
     * Reserves tokens for one turn. Repeating it for the same call reserves nothing more.
     *
     * @param program the program
     * @param call the turn
     * @param tokens the most that the turn generates
     * @param budgetTokens the most that the program generates
     * @param deadline when the answer is of no more use
     */
    CompletableFuture<Reservation> reserve(
            ProgramId program, CallId call, long tokens, long budgetTokens, Duration deadline);

    /** Replaces a reservation by the tokens that reached the caller; retried in the background. */
    void settle(ProgramId program, CallId call, long tokens);

    /**
     * Reads the history up to and including a turn.
     *
     * @param program the program that continues from the turn, mostly the one that made it
     * @param turn the turn
     * @param deadline when the answer is of no more use
     */
    CompletableFuture<Lookup> lookUp(ProgramId program, CallId turn, Duration deadline);

    /**
     * Stores the history of a finished turn durably.
     *
     * @param program the program that made the turn
     * @param turn the turn
     * @param text the inputs and outputs of the turn and all turns before it
     * @param retention how long it is kept
     * @param deadline when the answer is of no more use
     * @return whether it is stored on as many disks as the tolerated losses require
     */
    CompletableFuture<Boolean> store(
            ProgramId program, CallId turn, byte[] text, Duration retention, Duration deadline);
}
