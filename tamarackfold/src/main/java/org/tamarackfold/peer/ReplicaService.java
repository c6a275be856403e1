package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/**
 * Serves the requests of other hosts on a storage host. A primary confirms a record once its own
 * disk and those of so many other members hold it that it survives the tolerated losses.
 */
public final class ReplicaService implements PeerService {
    private static final StructuredLog LOG = StructuredLog.of("replica");

    /** Longest wait for one copy; a healthy host answers after one sync and one round trip. */
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(500);

    /** Pause before a copy is tried again, or under the next view. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(60);

    /** Time after which the sender of a request no longer waits for it. */
    private static final Duration GIVE_UP = Duration.ofMillis(2_500);

    private final ShardTable shards;
    private final RecordLog log;
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final Member self;
    private final int copies;

    /**
     * Creates the service of the given storage host.
     *
     * @param copies the disks that must hold a record before it is confirmed
     */
    public ReplicaService(
            Member self,
            int copies,
            ShardTable shards,
            RecordLog log,
            PeerChannel channel,
            Scheduler scheduler,
            InstantSource clock) {
        this.self = self;
        this.copies = copies;
        this.shards = shards;
        this.log = log;
        this.channel = channel;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<PeerReply> handle(PeerRequest request) {
        return switch (request) {
            case PeerRequest.Ping _ -> done(health());
            case PeerRequest.Append append ->
                    accept(shards.append(append), append.shard(), append.records());
            case PeerRequest.Copy copy -> accept(shards.copy(copy), copy.shard(), copy.records());
            case PeerRequest.Collect collect -> collect(collect);
            case PeerRequest.Relay _ ->
                    done(new PeerReply.Unavailable("a storage host passes nothing on"));
            case PeerRequest.Reserve reserve ->
                    execute(reserve.shard(), shards.reserve(reserve, clock.millis()));
            case PeerRequest.Settle settle ->
                    execute(settle.shard(), shards.settle(settle, clock.millis()));
            case PeerRequest.LookUp lookUp -> execute(lookUp.shard(), shards.lookUp(lookUp));
            case PeerRequest.Store store ->
                    execute(store.shard(), shards.store(store, clock.millis()));
        };
    }

    /** A host whose disk stalls confirms nothing, so others take its shards over. */
    private PeerReply health() {
        return log.isStalled()
                ? new PeerReply.Unavailable("disk stalled")
                : new PeerReply.Alive(self.store());
    }

    private static CompletableFuture<PeerReply> done(PeerReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private CompletableFuture<PeerReply> accept(
            Option<PeerReply> rejection, ShardId shard, Seq<StoredRecord> records) {
        if (rejection.isDefined()) {
            return done(rejection.get());
        }
        if (records.isEmpty()) {
            return done(new PeerReply.Done());
        }
        return log.append(shard, records).thenApply(unused -> new PeerReply.Done());
    }

    /** The end of the epoch must outlast a restart before the sender relies on it. */
    private CompletableFuture<PeerReply> collect(PeerRequest.Collect request) {
        PeerReply reply = shards.collect(request);
        if (!(reply instanceof PeerReply.Collected) || request.batch() > 0) {
            return done(reply);
        }
        return log.append(request.shard(), Vector.of(new StoredRecord.EpochEnd(request.epoch())))
                .thenApply(unused -> reply);
    }

    private CompletableFuture<PeerReply> execute(ShardId shard, ShardTable.Decision decision) {
        return switch (decision) {
            case ShardTable.Decision.Reply(PeerReply reply) -> done(reply);
            case ShardTable.Decision.Replicate(
                            Seq<StoredRecord> records,
                            PeerReply reply,
                            Epoch term) -> {
                CompletableFuture<Void> local =
                        records.isEmpty()
                                ? CompletableFuture.completedFuture(null)
                                : log.append(shard, records);
                long giveUpAt = scheduler.nanoTime() + GIVE_UP.toNanos();
                yield replicate(new Replication(shard, records, term, giveUpAt))
                        .thenCombine(
                                local, (confirmed, unused) -> confirmed ? reply : unconfirmed());
            }
        };
    }

    private static PeerReply unconfirmed() {
        return new PeerReply.Unavailable("not confirmed by enough members");
    }

    private record Replication(
            ShardId shard, Seq<StoredRecord> records, Epoch term, long giveUpAt) {}

    /**
     * Copies records to the members of the view, again under the next view when it changes. A host
     * that has not been the primary all the while decided without what others have confirmed.
     */
    private CompletableFuture<Boolean> replicate(Replication replication) {
        ShardTable.Targets targets = shards.targets(replication.shard());
        return switch (targets) {
            case ShardTable.Targets.None() -> CompletableFuture.completedFuture(false);
            case ShardTable.Targets.Primary primary ->
                    primary.term().equals(replication.term())
                            ? copy(primary, replication.records())
                                    .thenCompose(
                                            enough ->
                                                    afterCopies(
                                                            primary.view(), enough, replication))
                            : CompletableFuture.completedFuture(false);
        };
    }

    private CompletableFuture<Boolean> afterCopies(
            View view, boolean enough, Replication replication) {
        if (enough && stillPrimary(view)) {
            return CompletableFuture.completedFuture(true);
        }
        if (scheduler.nanoTime() - replication.giveUpAt() > 0) {
            LOG.event("not_confirmed")
                    .with("shard", replication.shard())
                    .with("epoch", view.epoch())
                    .with("members", view.members().map(Member::host).mkString(","))
                    .info();
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> later = new CompletableFuture<>();
        scheduler.after(RETRY_PAUSE, () -> replicate(replication).thenAccept(later::complete));
        return later;
    }

    private boolean stillPrimary(View view) {
        return shards.targets(view.shard())
                        instanceof ShardTable.Targets.Primary(View now, var _, var _, var _)
                && now.epoch().equals(view.epoch());
    }

    private CompletableFuture<Boolean> copy(
            ShardTable.Targets.Primary primary, Seq<StoredRecord> records) {
        View view = primary.view();
        Vector<Member> receivers =
                primary.others().appendAll(primary.required().removeAll(primary.others()));
        int membersNeeded = Math.min(copies, view.members().size()) - 1;
        CopyRound round = new CopyRound(membersNeeded, primary.required().size(), receivers.size());
        for (Member receiver : receivers) {
            PeerRequest request =
                    new PeerRequest.Append(view.shard(), view.epoch(), receiver.store(), records);
            boolean member = primary.others().contains(receiver);
            boolean required = primary.required().contains(receiver);
            shards.copySent(view, receiver);
            channel.send(receiver.address(), request, APPEND_TIMEOUT)
                    .thenAccept(
                            reply ->
                                    round.answered(
                                            member, required, acknowledged(view, receiver, reply)));
        }
        return round.result();
    }

    private boolean acknowledged(View view, Member receiver, PeerReply reply) {
        if (reply instanceof PeerReply.Done) {
            shards.copyAcknowledged(view, receiver);
            return true;
        }
        if (reply instanceof PeerReply.Stale(Epoch epoch) && epoch.equals(view.epoch())) {
            shards.copyRefused(view);
        }
        return false;
    }
}
