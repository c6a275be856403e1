package org.tamarackfold.caller.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.operator.Route;
import org.tamarackfold.peer.TurnHistory;

/** The durable side of one turn: its token reservation and its history. */
final class TurnState {
    /** Share of the time of a turn after which its preparation is given up, in percent. */
    private static final int PREPARATION_PERCENT = 70;

    private final TurnHistory history;
    private final CallDescription call;
    private final Route route;
    private byte[] fullBody = {};
    private byte[] parentText = {};
    private boolean reserved;
    private boolean settled;
    private long tokens;

    /** Result of preparing a turn. */
    sealed interface Preparation {
        /** The turn may run. */
        record Ready() implements Preparation {}

        /** The budget does not hold the turn. */
        record BudgetSpent() implements Preparation {}

        /** The turn that it continues does not exist. */
        record NoSuchTurn() implements Preparation {}

        /**
         * No certain answer could be had in time.
         *
         * @param reason for logs
         */
        record Unavailable(String reason) implements Preparation {}
    }

    TurnState(TurnHistory history, CallDescription call, Route route) {
        this.history = history;
        this.call = call;
        this.route = route;
        this.tokens = call.turn().map(ProgramTurn::maximumTokens).getOrElse(0L);
    }

    boolean needed() {
        return route.budgeted() && call.turn().isDefined();
    }

    boolean keepsHistory() {
        return needed() && route.keepsHistory();
    }

    CompletableFuture<Preparation> prepare(Duration timeLeft) {
        ProgramTurn turn = call.turn().get();
        Duration limit = timeLeft.multipliedBy(PREPARATION_PERCENT).dividedBy(100);
        reserved = true;
        CompletableFuture<TurnHistory.Reservation> reservation =
                history.reserve(
                        turn.program(),
                        call.id(),
                        turn.maximumTokens(),
                        turn.budgetTokens(),
                        limit);
        CompletableFuture<TurnHistory.Lookup> lookup = lookUp(turn, limit);
        return reservation.thenCombine(lookup, this::combine);
    }

    private CompletableFuture<TurnHistory.Lookup> lookUp(ProgramTurn turn, Duration limit) {
        if (!route.keepsHistory() || turn.parent().isEmpty()) {
            return CompletableFuture.completedFuture(new TurnHistory.Lookup.Found(parentText));
        }
        return history.lookUp(turn.program(), turn.parent().get(), limit);
    }

    private Preparation combine(TurnHistory.Reservation reservation, TurnHistory.Lookup lookup) {
        Preparation result =
                switch (reservation) {
                    case TurnHistory.Reservation.Exhausted() -> new Preparation.BudgetSpent();
                    case TurnHistory.Reservation.Unavailable(String reason) ->
                            new Preparation.Unavailable("reservation: " + reason);
                    case TurnHistory.Reservation.Granted() -> fromLookup(lookup);
                };
        if (!(result instanceof Preparation.Ready)) {
            notRun();
        }
        return result;
    }

    private Preparation fromLookup(TurnHistory.Lookup lookup) {
        return switch (lookup) {
            case TurnHistory.Lookup.Found(byte[] text) -> {
                parentText = text;
                yield new Preparation.Ready();
            }
            case TurnHistory.Lookup.Absent() -> new Preparation.NoSuchTurn();
            case TurnHistory.Lookup.Unavailable(String reason) ->
                    new Preparation.Unavailable("history: " + reason);
        };
    }

    /** Returns the history followed by the new input. */
    byte[] fullBody(byte[] input) {
        fullBody = concat(parentText, input);
        return fullBody;
    }

    /** Records that no endpoint has run or will run the turn. */
    void notRun() {
        tokens = 0;
    }

    /** Records the tokens that reached the caller. */
    void finished(long handedOut) {
        tokens = handedOut;
    }

    /** Stores the history up to and including this turn, if the system keeps it. */
    CompletableFuture<Boolean> store(byte[] output, Duration timeLeft) {
        if (!keepsHistory()) {
            return CompletableFuture.completedFuture(true);
        }
        return history.store(
                call.turn().get().program(),
                call.id(),
                concat(fullBody, output),
                route.retention(),
                timeLeft);
    }

    /** Replaces the reservation by what was used; does nothing the second time. */
    void settle() {
        if (!reserved || settled) {
            return;
        }
        settled = true;
        history.settle(call.turn().get().program(), call.id(), tokens);
    }

    private static byte[] concat(byte[] left, byte[] right) {
        byte[] joined = new byte[left.length + right.length];
        System.arraycopy(left, 0, joined, 0, left.length);
        System.arraycopy(right, 0, joined, left.length, right.length);
        return joined;
    }
}
