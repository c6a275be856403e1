package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/**
 * Reads and changes the durable state of programs from an entry host. A request goes to the primary
 * of the shard and is retried until it is answered or its timeout has passed, because the primary
 * may change meanwhile.
 */
public final class HistoryClient implements TurnHistory {
    private static final StructuredLog LOG = StructuredLog.of("history");

    /** Timeout of one attempt; a primary replies within a few disk syncs and round trips. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(700);

    /** Delay before a retry, in which a new layout can arrive. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /**
     * Time for which a settlement is retried. If the settlement is lost, the program is charged the
     * full reservation of the turn.
     */
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(10);

    private final LayoutHolder layouts;
    private final StorageRequestSender requestSender;
    private final Scheduler scheduler;

    /** Creates a client that finds the primaries in the latest layout of the given holder. */
    public HistoryClient(
            LayoutHolder layouts, StorageRequestSender requestSender, Scheduler scheduler) {
        this.layouts = layouts;
        this.requestSender = requestSender;
        this.scheduler = scheduler;
    }

    /**
     * A request that is retried; each attempt chooses its shard in the latest layout.
     *
     * @param endsWhenOverloaded whether it ends when the primary is overloaded: new work that
     *     cannot be served is refused at once, whereas accepted work is completed
     * @param mayHaveArrived set when an attempt may have taken effect on a storage host
     */
    private record PendingRequest(
            Function<Layout, ShardId> shard,
            Function<ShardId, PeerRequest> request,
            boolean endsWhenOverloaded,
            long deadlineNanos,
            AtomicBoolean mayHaveArrived,
            CompletableFuture<PeerReply> result) {}

    private CompletableFuture<PeerReply> sendNewWork(
            Function<Layout, ShardId> shard,
            Function<ShardId, PeerRequest> request,
            Duration timeout) {
        return sendToPrimary(shard, request, true, timeout);
    }

    private CompletableFuture<PeerReply> sendAcceptedWork(
            Function<Layout, ShardId> shard,
            Function<ShardId, PeerRequest> request,
            Duration timeout) {
        return sendToPrimary(shard, request, false, timeout);
    }

    private CompletableFuture<PeerReply> sendToPrimary(
            Function<Layout, ShardId> shard,
            Function<ShardId, PeerRequest> request,
            boolean endsWhenOverloaded,
            Duration timeout) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        long deadlineNanos = scheduler.nanoTime() + timeout.toNanos();
        attempt(
                new PendingRequest(
                        shard,
                        request,
                        endsWhenOverloaded,
                        deadlineNanos,
                        new AtomicBoolean(),
                        result));
        return result;
    }

    private void attempt(PendingRequest pending) {
        long remainingNanos = pending.deadlineNanos() - scheduler.nanoTime();
        if (remainingNanos <= 0) {
            pending.result().complete(new PeerReply.Unavailable("no confirmation in time"));
            return;
        }
        Option<LayoutHolder.VersionedLayout> versioned = layouts.current();
        if (versioned.isEmpty()) {
            retry(pending);
            return;
        }
        Layout layout = versioned.get().layout();
        ShardId shard = pending.shard().apply(layout);
        Duration replyTimeout = Duration.ofNanos(Math.min(remainingNanos, REPLY_TIMEOUT.toNanos()));
        requestSender
                .send(
                        layout.view(shard).primary().address(),
                        pending.request().apply(shard),
                        replyTimeout)
                .thenAccept(reply -> onReply(pending, reply));
    }

    private void onReply(PendingRequest pending, PeerReply reply) {
        boolean arrivedBefore = pending.mayHaveArrived().get();
        if (!(reply instanceof PeerReply.Overloaded)) {
            pending.mayHaveArrived().set(true);
        }
        switch (reply) {
            case PeerReply.NotPrimary(),
                    PeerReply.Collected _,
                    PeerReply.Unavailable(String _),
                    PeerReply.Unreachable(String _),
                    PeerReply.Stale _ ->
                    retry(pending);
            case PeerReply.Overloaded(String reason) -> onOverloaded(pending, reason);
            case PeerReply.NoSuchTurn _ ->
                    pending.result().complete(new PeerReply.NoSuchTurn(arrivedBefore));
            case PeerReply.Done(),
                    PeerReply.Settled(),
                    PeerReply.Reserved _,
                    PeerReply.Exhausted(),
                    PeerReply.Outstanding(),
                    PeerReply.Found(History _),
                    PeerReply.Absent(),
                    PeerReply.Alive _ ->
                    pending.result().complete(reply);
        }
    }

    private void onOverloaded(PendingRequest pending, String reason) {
        if (!pending.endsWhenOverloaded()) {
            retry(pending);
            return;
        }
        pending.result()
                .complete(
                        pending.mayHaveArrived().get()
                                ? new PeerReply.Unavailable("storage host overloaded, " + reason)
                                : new PeerReply.Overloaded(reason));
    }

    private void retry(PendingRequest pending) {
        scheduler.after(RETRY_DELAY, () -> attempt(pending));
    }

    @Override
    public CompletableFuture<Reservation> reserve(
            ProgramId program,
            CallId turn,
            long tokens,
            long budgetTokens,
            StreamStart stream,
            Option<ContinuedTurn> continued,
            Duration timeout) {
        return sendNewWork(
                        layout -> layout.shardOf(program),
                        shard ->
                                new PeerRequest.Reserve(
                                        shard,
                                        program,
                                        turn,
                                        tokens,
                                        budgetTokens,
                                        stream,
                                        continued),
                        timeout)
                .thenApply(HistoryClient::toReservation);
    }

    private static Reservation toReservation(PeerReply reply) {
        return switch (reply) {
            case PeerReply.Done() -> new Reservation.Granted(Option.none());
            case PeerReply.Reserved(StreamOrigin origin) ->
                    new Reservation.Granted(Option.some(origin));
            case PeerReply.NoSuchTurn(boolean mayBeReserved) ->
                    new Reservation.NoSuchTurn(mayBeReserved);
            case PeerReply.Exhausted() -> new Reservation.Exhausted();
            case PeerReply.Outstanding() ->
                    new Reservation.Unavailable("unfinished turns hold the rest of the budget");
            case PeerReply.Overloaded(String reason) ->
                    new Reservation.Refused("storage host overloaded, " + reason);
            default -> new Reservation.Unavailable(String.valueOf(reply));
        };
    }

    @Override
    public void settle(ProgramId program, CallId turn, long tokens) {
        sendAcceptedWork(
                        layout -> layout.shardOf(program),
                        shard -> new PeerRequest.Settle(shard, program, turn, tokens),
                        SETTLE_TIMEOUT)
                .thenAccept(reply -> onSettleReply(program, turn, reply));
    }

    private static void onSettleReply(ProgramId program, CallId turn, PeerReply reply) {
        if (reply instanceof PeerReply.Unavailable(String reason)) {
            LOG.event("not_settled")
                    .with("program", program)
                    .with("call", turn)
                    .with("reason", reason)
                    .warn();
        }
    }

    @Override
    public CompletableFuture<Lookup> lookUp(
            ProgramId program, CallId turn, TurnAccess access, Duration timeout) {
        long deadlineNanos = scheduler.nanoTime() + timeout.toNanos();
        return lookUpInShard(layout -> layout.shardOf(program), turn, access, timeout)
                .thenCompose(
                        result ->
                                result instanceof Lookup.Absent
                                        ? lookUpInOtherShards(program, turn, access, deadlineNanos)
                                        : CompletableFuture.completedFuture(result));
    }

    private CompletableFuture<Lookup> lookUpInShard(
            Function<Layout, ShardId> shard, CallId turn, TurnAccess access, Duration timeout) {
        return sendNewWork(shard, id -> new PeerRequest.LookUp(id, turn, access), timeout)
                .thenApply(HistoryClient::toLookup);
    }

    /**
     * Asks all other shards, because a program may continue from a turn of another program, whose
     * shard is not known.
     */
    private CompletableFuture<Lookup> lookUpInOtherShards(
            ProgramId program, CallId turn, TurnAccess access, long deadlineNanos) {
        Layout layout = layouts.current().get().layout();
        Duration remaining = Duration.ofNanos(Math.max(0, deadlineNanos - scheduler.nanoTime()));
        CompletableFuture<Lookup> found = new CompletableFuture<>();
        CompletableFuture<Lookup> combined = CompletableFuture.completedFuture(new Lookup.Absent());
        for (ShardId shard : layout.views().map(View::shard)) {
            if (shard.equals(layout.shardOf(program))) {
                continue;
            }
            CompletableFuture<Lookup> shardLookup =
                    lookUpInShard(unused -> shard, turn, access, remaining);
            shardLookup.thenAccept(result -> completeIfFound(found, result));
            combined = combined.thenCombine(shardLookup, HistoryClient::combine);
        }
        combined.thenAccept(found::complete);
        return found;
    }

    private static void completeIfFound(CompletableFuture<Lookup> found, Lookup result) {
        if (result instanceof Lookup.Found) {
            found.complete(result);
        }
    }

    /** Combines the results of two shards; a turn is absent only if both shards lack it. */
    private static Lookup combine(Lookup first, Lookup second) {
        return switch (first) {
            case Lookup.Found _ -> first;
            case Lookup.Absent() -> second;
            case Lookup.Unavailable _ -> second instanceof Lookup.Found ? second : first;
        };
    }

    private static Lookup toLookup(PeerReply reply) {
        return switch (reply) {
            case PeerReply.Found(History history) -> new Lookup.Found(history.toBytes());
            case PeerReply.Absent() -> new Lookup.Absent();
            default -> new Lookup.Unavailable(String.valueOf(reply));
        };
    }

    @Override
    public CompletableFuture<StoreResult> store(
            ProgramId program, FinishedTurn turn, Duration timeout) {
        return sendAcceptedWork(
                        layout -> layout.shardOf(program),
                        shard -> new PeerRequest.Store(shard, turn),
                        timeout)
                .thenApply(HistoryClient::toStoreResult);
    }

    private static StoreResult toStoreResult(PeerReply reply) {
        return switch (reply) {
            case PeerReply.Settled() -> new StoreResult.Settled();
            case PeerReply.Done() -> new StoreResult.Stored();
            default -> new StoreResult.NotConfirmed();
        };
    }
}
