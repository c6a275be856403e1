package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/** Uses the durable state of programs from an entry host: asks the primary of each shard. */
public final class HistoryClient implements TurnHistory {
    private static final StructuredLog LOG = StructuredLog.of("history");

    /** Longest wait for one reply; a primary confirms within a few syncs and round trips. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(700);

    /** Pause before another try, in which a new layout can arrive. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /** How long a settlement is tried; a lost one only counts a turn at its most. */
    private static final Duration SETTLE_DEADLINE = Duration.ofSeconds(10);

    private final LayoutBook layouts;
    private final PeerRoutes routes;
    private final Scheduler scheduler;

    /** Creates a client. */
    public HistoryClient(LayoutBook layouts, PeerRoutes routes, Scheduler scheduler) {
        this.layouts = layouts;
        this.routes = routes;
        this.scheduler = scheduler;
    }

    private record Pending(
            Function<Layout, ShardId> shard,
            Function<ShardId, PeerRequest> request,
            long endsAt,
            CompletableFuture<PeerReply> result) {}

    private CompletableFuture<PeerReply> ask(
            Function<Layout, ShardId> shard,
            Function<ShardId, PeerRequest> request,
            Duration deadline) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        attempt(new Pending(shard, request, scheduler.nanoTime() + deadline.toNanos(), result));
        return result;
    }

    private void attempt(Pending pending) {
        long left = pending.endsAt() - scheduler.nanoTime();
        if (left <= 0) {
            pending.result().complete(new PeerReply.Unavailable("no confirmation in time"));
            return;
        }
        Option<LayoutBook.Stored> stored = layouts.current();
        if (stored.isEmpty()) {
            retry(pending);
            return;
        }
        Layout layout = stored.get().layout();
        ShardId shard = pending.shard().apply(layout);
        Duration timeout = Duration.ofNanos(Math.min(left, REPLY_TIMEOUT.toNanos()));
        routes.send(layout.view(shard).primary().address(), pending.request().apply(shard), timeout)
                .thenAccept(reply -> replied(pending, reply));
    }

    private void replied(Pending pending, PeerReply reply) {
        switch (reply) {
            case PeerReply.NotPrimary(),
                    PeerReply.Collected _,
                    PeerReply.Unavailable(String _),
                    PeerReply.Unreachable(String _),
                    PeerReply.Stale _ ->
                    retry(pending);
            case PeerReply.Done(),
                    PeerReply.Exhausted(),
                    PeerReply.Found(byte[] _),
                    PeerReply.Absent(),
                    PeerReply.Alive _ ->
                    pending.result().complete(reply);
        }
    }

    private void retry(Pending pending) {
        scheduler.after(RETRY_PAUSE, () -> attempt(pending));
    }

    @Override
    public CompletableFuture<Reservation> reserve(
            ProgramId program, CallId call, long tokens, long budgetTokens, Duration deadline) {
        return ask(
                        layout -> layout.shardOf(program),
                        shard ->
                                new PeerRequest.Reserve(shard, program, call, tokens, budgetTokens),
                        deadline)
                .thenApply(HistoryClient::reservation);
    }

    private static Reservation reservation(PeerReply reply) {
        return switch (reply) {
            case PeerReply.Done() -> new Reservation.Granted();
            case PeerReply.Exhausted() -> new Reservation.Exhausted();
            default -> new Reservation.Unavailable(String.valueOf(reply));
        };
    }

    @Override
    public void settle(ProgramId program, CallId call, long tokens) {
        ask(
                        layout -> layout.shardOf(program),
                        shard -> new PeerRequest.Settle(shard, program, call, tokens),
                        SETTLE_DEADLINE)
                .thenAccept(reply -> settled(program, call, reply));
    }

    private static void settled(ProgramId program, CallId call, PeerReply reply) {
        if (reply instanceof PeerReply.Unavailable(String reason)) {
            LOG.event("not_settled")
                    .with("program", program)
                    .with("call", call)
                    .with("reason", reason)
                    .warn();
        }
    }

    @Override
    public CompletableFuture<Lookup> lookUp(ProgramId program, CallId turn, Duration deadline) {
        long endsAt = scheduler.nanoTime() + deadline.toNanos();
        return lookUpIn(layout -> layout.shardOf(program), turn, deadline)
                .thenCompose(
                        result ->
                                result instanceof Lookup.Absent
                                        ? lookUpElsewhere(program, turn, endsAt)
                                        : CompletableFuture.completedFuture(result));
    }

    private CompletableFuture<Lookup> lookUpIn(
            Function<Layout, ShardId> shard, CallId turn, Duration deadline) {
        return ask(shard, id -> new PeerRequest.LookUp(id, turn), deadline)
                .thenApply(HistoryClient::lookup);
    }

    /** A program may continue from a turn of another one, whose shard is not known. */
    private CompletableFuture<Lookup> lookUpElsewhere(ProgramId program, CallId turn, long endsAt) {
        Layout layout = layouts.current().get().layout();
        Duration left = Duration.ofNanos(Math.max(0, endsAt - scheduler.nanoTime()));
        CompletableFuture<Lookup> found = new CompletableFuture<>();
        CompletableFuture<Lookup> all = CompletableFuture.completedFuture(new Lookup.Absent());
        for (ShardId shard : layout.views().map(View::shard)) {
            if (shard.equals(layout.shardOf(program))) {
                continue;
            }
            CompletableFuture<Lookup> one = lookUpIn(unused -> shard, turn, left);
            one.thenAccept(result -> completeIfFound(found, result));
            all = all.thenCombine(one, HistoryClient::either);
        }
        all.thenAccept(found::complete);
        return found;
    }

    private static void completeIfFound(CompletableFuture<Lookup> found, Lookup result) {
        if (result instanceof Lookup.Found) {
            found.complete(result);
        }
    }

    /** A turn is absent only where no shard has it. */
    private static Lookup either(Lookup first, Lookup second) {
        return switch (first) {
            case Lookup.Found _ -> first;
            case Lookup.Absent() -> second;
            case Lookup.Unavailable _ -> second instanceof Lookup.Found ? second : first;
        };
    }

    private static Lookup lookup(PeerReply reply) {
        return switch (reply) {
            case PeerReply.Found(byte[] text) -> new Lookup.Found(text);
            case PeerReply.Absent() -> new Lookup.Absent();
            default -> new Lookup.Unavailable(String.valueOf(reply));
        };
    }

    @Override
    public CompletableFuture<Boolean> store(
            ProgramId program, CallId turn, byte[] text, Duration retention, Duration deadline) {
        return ask(
                        layout -> layout.shardOf(program),
                        shard -> new PeerRequest.Store(shard, turn, text, retention),
                        deadline)
                .thenApply(reply -> reply instanceof PeerReply.Done);
    }
}
