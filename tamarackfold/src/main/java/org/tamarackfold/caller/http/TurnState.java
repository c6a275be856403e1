package org.tamarackfold.caller.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.operator.Route;
import org.tamarackfold.peer.TurnHistory;

/** The token reservation and the stored history of one call, if it is a turn of a program. */
final class TurnState {
    /** Share of the remaining time that reservation and history lookup may use, in percent. */
    private static final int PREPARATION_PERCENT = 70;

    private final TurnHistory history;
    private final CallDescription call;
    private final Route route;
    private byte[] bodyWithHistory = {};
    private byte[] parentHistory = {};
    private volatile boolean reservationRequested;
    private boolean settled;

    /** Tokens of the events passed to the response writer; 0 until the first one. */
    private volatile long deliveredTokens;

    /** Result of reserving tokens and reading the history before a turn runs. */
    sealed interface Preparation {
        /** The tokens are reserved and the history is read; the turn may run. */
        record Ready() implements Preparation {}

        /** The remaining token budget does not cover the turn. */
        record BudgetSpent() implements Preparation {}

        /** The parent turn is not in the history. */
        record NoSuchTurn() implements Preparation {}

        /**
         * The reservation or the history lookup had no definite result within its timeout.
         *
         * @param reason the cause, for the log
         */
        record Unavailable(String reason) implements Preparation {}
    }

    TurnState(TurnHistory history, CallDescription call, Route route) {
        this.history = history;
        this.call = call;
        this.route = route;
    }

    /** Returns whether the call is a turn of a program on a route with token budgets. */
    boolean usesTokenBudget() {
        return route.usesTokenBudget() && call.turn().isDefined();
    }

    /** Returns whether the history of the turn is to be stored. */
    boolean keepsHistory() {
        return usesTokenBudget() && route.keepsHistory();
    }

    /** Reserves the tokens of the turn and reads the history of its parent; called once. */
    CompletableFuture<Preparation> prepare(Duration remainingTime) {
        ProgramTurn turn = call.turn().get();
        Duration timeout = remainingTime.multipliedBy(PREPARATION_PERCENT).dividedBy(100);
        reservationRequested = true;
        CompletableFuture<TurnHistory.Reservation> reservation =
                history.reserve(
                        turn.program(),
                        call.id(),
                        turn.maximumTokens(),
                        turn.budgetTokens(),
                        timeout);
        CompletableFuture<TurnHistory.Lookup> lookup = lookUp(turn, timeout);
        return reservation.thenCombine(lookup, this::combineResults);
    }

    private CompletableFuture<TurnHistory.Lookup> lookUp(ProgramTurn turn, Duration timeout) {
        if (!route.keepsHistory() || turn.parent().isEmpty()) {
            return CompletableFuture.completedFuture(new TurnHistory.Lookup.Found(parentHistory));
        }
        return history.lookUp(turn.program(), turn.parent().get(), timeout);
    }

    private Preparation combineResults(
            TurnHistory.Reservation reservation, TurnHistory.Lookup lookup) {
        return switch (reservation) {
            case TurnHistory.Reservation.Exhausted() -> new Preparation.BudgetSpent();
            case TurnHistory.Reservation.Unavailable(String reason) ->
                    new Preparation.Unavailable("reservation: " + reason);
            case TurnHistory.Reservation.Refused(String reason) -> {
                reservationRequested = false;
                yield new Preparation.Unavailable("reservation: " + reason);
            }
            case TurnHistory.Reservation.Granted() -> fromLookup(lookup);
        };
    }

    private Preparation fromLookup(TurnHistory.Lookup lookup) {
        return switch (lookup) {
            case TurnHistory.Lookup.Found(byte[] text) -> {
                parentHistory = text;
                yield new Preparation.Ready();
            }
            case TurnHistory.Lookup.Absent() -> new Preparation.NoSuchTurn();
            case TurnHistory.Lookup.Unavailable(String reason) ->
                    new Preparation.Unavailable("history: " + reason);
        };
    }

    /** Returns the history of the parent turn followed by the new input. */
    byte[] prependHistory(byte[] input) {
        bodyWithHistory = concat(parentHistory, input);
        return bodyWithHistory;
    }

    /** Records the tokens of the events passed to the response writer. */
    void recordDeliveredTokens(long tokens) {
        deliveredTokens = tokens;
    }

    /**
     * Stores the history up to and including this turn, if the route keeps one.
     *
     * @return whether the history is durable or the route keeps none
     */
    CompletableFuture<Boolean> store(byte[] output, Duration remainingTime) {
        if (!keepsHistory()) {
            return CompletableFuture.completedFuture(true);
        }
        return history.store(
                call.turn().get().program(),
                call.id(),
                concat(bodyWithHistory, output),
                route.retention(),
                remainingTime);
    }

    /**
     * Settles the reservation at the tokens delivered to the caller: a turn that broke off before
     * its first event uses none of the budget. Does nothing if no reservation was requested or if
     * called again.
     */
    void settle() {
        if (!reservationRequested || settled) {
            return;
        }
        settled = true;
        history.settle(call.turn().get().program(), call.id(), deliveredTokens);
    }

    private static byte[] concat(byte[] left, byte[] right) {
        byte[] joined = new byte[left.length + right.length];
        System.arraycopy(left, 0, joined, 0, left.length);
        System.arraycopy(right, 0, joined, left.length, right.length);
        return joined;
    }
}
