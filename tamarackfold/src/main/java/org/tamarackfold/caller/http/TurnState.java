package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.operator.Route;
import org.tamarackfold.peer.ContinuedTurn;
import org.tamarackfold.peer.FinishedTurn;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.StreamStart;
import org.tamarackfold.peer.TurnAccess;
import org.tamarackfold.peer.TurnHistory;
import org.tamarackfold.time.Durations;

/** The token reservation and the stored history of one call, if it is a turn of a program. */
final class TurnState {
    /** Share of the remaining time that reservation and history lookup may use, in percent. */
    private static final int PREPARATION_PERCENT = 70;

    /**
     * Time for which a stream without token budget waits until its origin is recorded; a primary
     * replies within a few disk syncs and round trips.
     */
    private static final Duration ORIGIN_TIMEOUT = Duration.ofMillis(300);

    private final boolean hasCustomers;
    private final TurnHistory history;
    private final CallDescription call;
    private final Route route;
    private byte[] bodyWithHistory = {};
    private byte[] parentHistory = {};
    private volatile boolean reservationRequested;

    /** Whether a reservation was granted, or may have been by an attempt without a reply. */
    private volatile boolean mayBeReserved;

    private volatile boolean settled;

    /** Tokens of the events passed to the response writer; 0 until the first one. */
    private volatile long deliveredTokens;

    /** Result of reserving tokens and reading the history before a turn runs. */
    sealed interface Preparation {
        /**
         * The tokens are reserved and the history is read; the turn may run.
         *
         * @param origin the origin of the stream that is recorded or was read
         */
        record Ready(Option<StreamOrigin> origin) implements Preparation {}

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

    /**
     * Creates the state of a call.
     *
     * @param hasCustomers whether the release of the call defines customers
     */
    TurnState(TurnHistory history, CallDescription call, Route route, boolean hasCustomers) {
        this.hasCustomers = hasCustomers;
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

    /**
     * Reserves the tokens of the turn, records or reads the origin of its stream, and reads the
     * history of its parent; called once.
     *
     * @param timeLeft returns the time until the deadline of the call
     */
    CompletableFuture<Preparation> prepare(StreamStart stream, Supplier<Duration> timeLeft) {
        Duration remainingTime = timeLeft.get();
        if (!usesTokenBudget() && stream instanceof StreamStart.Untracked) {
            return CompletableFuture.completedFuture(new Preparation.Ready(Option.none()));
        }
        if (!usesTokenBudget() && stream instanceof StreamStart.Begins) {
            return reserve(stream, Durations.min(remainingTime, ORIGIN_TIMEOUT))
                    .thenApply(TurnState::beginWithoutBudget);
        }
        CompletableFuture<TurnHistory.Lookup> lookup =
                usesTokenBudget()
                        ? lookUp(call.turn().get(), timeout(remainingTime))
                        : CompletableFuture.completedFuture(
                                new TurnHistory.Lookup.Found(parentHistory));
        return reserve(stream, continuedTurn(), remainingTime)
                .thenCompose(
                        reservation ->
                                reservation instanceof TurnHistory.Reservation.NoSuchTurn
                                        ? lookup.thenCompose(
                                                found -> reserveAfter(found, stream, timeLeft))
                                        : afterReservation(reservation, lookup));
    }

    /**
     * Returns the turn that the call must be able to continue. Without customers in the release, a
     * program may continue all turns, so that the reservation need not wait for a check.
     */
    private Option<ContinuedTurn> continuedTurn() {
        return hasCustomers && keepsHistory()
                ? call.turn()
                        .flatMap(ProgramTurn::parent)
                        .map(parent -> new ContinuedTurn(parent, call.customer()))
                : Option.none();
    }

    /**
     * Reserves once the parent was found in another shard, which has taken a part of the time. The
     * timeout is computed from what is left: a lookup usually takes far less than its timeout.
     */
    private CompletableFuture<Preparation> reserveAfter(
            TurnHistory.Lookup lookup, StreamStart stream, Supplier<Duration> timeLeft) {
        if (!(lookup instanceof TurnHistory.Lookup.Found)) {
            return completed(fromLookup(lookup, Option.none()));
        }
        return reserve(stream, timeLeft.get())
                .thenCompose(reservation -> afterReservation(reservation, completed(lookup)));
    }

    /**
     * Lets a stream without token budget begin also when its origin is not recorded: it is served
     * then, but cannot be resumed.
     */
    private static Preparation beginWithoutBudget(TurnHistory.Reservation reservation) {
        return new Preparation.Ready(
                reservation instanceof TurnHistory.Reservation.Granted(Option<StreamOrigin> origin)
                        ? origin
                        : Option.none());
    }

    /** Records another origin of the stream, for the same turn. */
    CompletableFuture<Preparation> recordOrigin(StreamStart stream, Duration remainingTime) {
        CompletableFuture<TurnHistory.Lookup> found =
                CompletableFuture.completedFuture(new TurnHistory.Lookup.Found(parentHistory));
        return reserve(stream, remainingTime)
                .thenCompose(reservation -> afterReservation(reservation, found));
    }

    private CompletableFuture<TurnHistory.Reservation> reserve(
            StreamStart stream, Duration remainingTime) {
        return reserve(stream, Option.none(), remainingTime);
    }

    private CompletableFuture<TurnHistory.Reservation> reserve(
            StreamStart stream, Option<ContinuedTurn> continued, Duration remainingTime) {
        reservationRequested = usesTokenBudget();
        ProgramTurn turn = usesTokenBudget() ? call.turn().get() : withoutBudget(stream);
        return history.reserve(
                        turn.program(),
                        call.id(),
                        turn.maximumTokens(),
                        turn.budgetTokens(),
                        stream,
                        continued,
                        timeout(remainingTime))
                .thenApply(this::noteReservation);
    }

    /** Notes whether there is anything to settle. */
    private TurnHistory.Reservation noteReservation(TurnHistory.Reservation reservation) {
        switch (reservation) {
            case TurnHistory.Reservation.Granted _ -> mayBeReserved = true;
            case TurnHistory.Reservation.NoSuchTurn(boolean reservedBefore) -> {
                mayBeReserved |= reservedBefore;
                reservationRequested = mayBeReserved;
            }
            case TurnHistory.Reservation.Refused _ -> reservationRequested = mayBeReserved;
            case TurnHistory.Reservation.Exhausted(), TurnHistory.Reservation.Unavailable _ -> {}
        }
        return reservation;
    }

    /**
     * Returns the turn under which the origin of a stream without token budget is kept: it forms a
     * program of its own, named after the call that brought its first event.
     */
    private ProgramTurn withoutBudget(StreamStart stream) {
        CallId firstCall = stream instanceof StreamStart.Resumes(CallId first) ? first : call.id();
        return new ProgramTurn(new ProgramId(firstCall.value()), Option.none(), 0, 0);
    }

    private static Duration timeout(Duration remainingTime) {
        return remainingTime.multipliedBy(PREPARATION_PERCENT).dividedBy(100);
    }

    private CompletableFuture<TurnHistory.Lookup> lookUp(ProgramTurn turn, Duration timeout) {
        if (!route.keepsHistory() || turn.parent().isEmpty()) {
            return CompletableFuture.completedFuture(new TurnHistory.Lookup.Found(parentHistory));
        }
        return history.lookUp(turn.program(), turn.parent().get(), access(turn), timeout);
    }

    /** Without customers in the release, a program may continue the turns of all others. */
    private TurnAccess access(ProgramTurn turn) {
        return hasCustomers
                ? new TurnAccess.Restricted(turn.program(), call.customer())
                : new TurnAccess.Unrestricted();
    }

    /** Waits for the history only if the turn may run: a refused one is answered at once. */
    private CompletableFuture<Preparation> afterReservation(
            TurnHistory.Reservation reservation, CompletableFuture<TurnHistory.Lookup> lookup) {
        return switch (reservation) {
            case TurnHistory.Reservation.NoSuchTurn _ -> completed(new Preparation.NoSuchTurn());
            case TurnHistory.Reservation.Exhausted() -> completed(new Preparation.BudgetSpent());
            case TurnHistory.Reservation.Unavailable(String reason) ->
                    completed(new Preparation.Unavailable("reservation: " + reason));
            case TurnHistory.Reservation.Refused(String reason) ->
                    completed(new Preparation.Unavailable("reservation: " + reason));
            case TurnHistory.Reservation.Granted(Option<StreamOrigin> origin) ->
                    lookup.thenApply(found -> fromLookup(found, origin));
        };
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    private Preparation fromLookup(TurnHistory.Lookup lookup, Option<StreamOrigin> origin) {
        return switch (lookup) {
            case TurnHistory.Lookup.Found(byte[] text) -> {
                parentHistory = text;
                yield new Preparation.Ready(origin);
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

    /**
     * Returns the events that the reserved tokens cover; the last one may have fewer tokens than
     * the others. Unlimited for a call that reserves none.
     */
    long maximumEvents(int tokensPerEvent) {
        long reservedTokens = usesTokenBudget() ? call.turn().get().maximumTokens() : 0;
        return reservedTokens > 0 && tokensPerEvent > 0
                ? Math.ceilDiv(reservedTokens, tokensPerEvent)
                : Long.MAX_VALUE;
    }

    /** Records the tokens of the events passed to the response writer. */
    void recordDeliveredTokens(long tokens) {
        deliveredTokens = tokens;
    }

    /**
     * Stores the history up to and including this turn, if the route keeps one, and settles the
     * turn in the same message.
     *
     * @return whether the history is durable or the route keeps none
     */
    CompletableFuture<Boolean> store(byte[] output, Duration remainingTime) {
        if (!keepsHistory()) {
            return CompletableFuture.completedFuture(true);
        }
        ProgramTurn turn = call.turn().get();
        FinishedTurn finished =
                FinishedTurn.builder()
                        .call(call.id())
                        .text(concat(bodyWithHistory, output))
                        .retention(route.retention())
                        .parent(turn.parent())
                        .customer(call.customer())
                        .settlement(
                                Option.some(
                                        new FinishedTurn.Settlement(
                                                turn.program(), deliveredTokens)))
                        .build();
        return history.store(turn.program(), finished, remainingTime).thenApply(this::onStored);
    }

    /** A turn that is not confirmed as settled is settled by a message of its own when it ends. */
    private boolean onStored(TurnHistory.StoreResult result) {
        return switch (result) {
            case TurnHistory.StoreResult.Settled() -> {
                settled = true;
                yield true;
            }
            case TurnHistory.StoreResult.Stored() -> true;
            case TurnHistory.StoreResult.NotConfirmed() -> false;
        };
    }

    /**
     * Settles the reservation at the tokens delivered to the caller: a turn that broke off before
     * its first event uses none of the budget. Does nothing if no reservation was requested, if the
     * store has settled the turn, or if called again.
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
