package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/**
 * Handles the requests of other hosts on a storage host. A primary confirms a record when the write
 * quorum, which includes its own disk, holds it, so that it survives the tolerated losses.
 */
public final class ReplicaService implements PeerService {
    private static final StructuredLog LOG = StructuredLog.of("replica");

    /** Timeout of one append; a healthy host replies after one disk sync and one round trip. */
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(500);

    /** Delay before an append is retried, under the next view if the view has changed. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    /**
     * Time for which replication is retried; the sender of the request has stopped waiting for this
     * reply by then.
     */
    private static final Duration REPLICATION_TIMEOUT = Duration.ofMillis(2_500);

    private final ShardTable shards;
    private final RecordLog log;
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final StorageHost self;
    private final int writeQuorum;
    private final AtomicBoolean rejectedForMemory = new AtomicBoolean();
    private final AtomicBoolean rejectedForDisk = new AtomicBoolean();

    /**
     * Creates the service of the given storage host.
     *
     * @param writeQuorum the number of disks that must hold a record to confirm it, including the
     *     disk of the primary
     * @param clock the wall clock from which the expiry times of records are computed
     */
    public ReplicaService(
            StorageHost self,
            int writeQuorum,
            ShardTable shards,
            RecordLog log,
            PeerChannel channel,
            Scheduler scheduler,
            InstantSource clock) {
        this.self = self;
        this.writeQuorum = writeQuorum;
        this.shards = shards;
        this.log = log;
        this.channel = channel;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<PeerReply> handle(PeerRequest request) {
        return switch (request) {
            case PeerRequest.Ping _ -> completed(pingReply());
            case PeerRequest.Append append ->
                    persistAccepted(shards.append(append), append.shard(), append.records());
            case PeerRequest.Copy copy ->
                    persistAccepted(shards.copy(copy), copy.shard(), copy.records());
            case PeerRequest.Collect collect -> collect(collect);
            case PeerRequest.Relay _ ->
                    completed(new PeerReply.Unavailable("a storage host passes nothing on"));
            case PeerRequest.Reserve reserve ->
                    execute(reserve.shard(), reserve(reserve, clock.millis()));
            case PeerRequest.Settle settle ->
                    execute(settle.shard(), shards.settle(settle, clock.millis()));
            case PeerRequest.LookUp lookUp -> execute(lookUp.shard(), shards.lookUp(lookUp));
            case PeerRequest.Store store ->
                    execute(store.shard(), shards.store(store, clock.millis()));
        };
    }

    /**
     * Replies as unavailable to a ping while the disk is stalled. The host can confirm no records
     * then, so the other hosts must treat it as failed and take over its shards.
     */
    private PeerReply pingReply() {
        return log.isStalled()
                ? new PeerReply.Unavailable("disk stalled")
                : new PeerReply.Alive(self.store());
    }

    private ShardTable.Decision reserve(PeerRequest.Reserve request, long nowMillis) {
        updateDiskUsage();
        ShardTable.Decision decision = shards.reserve(request, nowMillis);
        logMemoryLimit();
        if (rejectsReservation(decision)) {
            ShardRecords.ChargedTokens charged = shards.chargedToOtherTurns(request, nowMillis);
            LOG.event("reservation_rejected")
                    .with("program", request.program())
                    .with("call", request.call())
                    .with("tokens", request.tokens())
                    .with("budget", request.budgetTokens())
                    .with("settled", charged.settled())
                    .with("outstanding", charged.outstanding())
                    .info();
        }
        return decision;
    }

    /** Logs only the begin and the end of the time in which the disk has no room for new turns. */
    private void updateDiskUsage() {
        long usedBytes = log.usedBytesWithoutReplacements();
        boolean rejects = shards.updateDiskUsage(usedBytes);
        if (rejectedForDisk.getAndSet(rejects) != rejects) {
            LOG.event("disk_limit").with("rejects", rejects).with("used_bytes", usedBytes).warn();
        }
    }

    /** Logs only the begin and the end of the time in which new turns are rejected. */
    private void logMemoryLimit() {
        boolean rejects = shards.rejectsNewTurns();
        if (rejectedForMemory.getAndSet(rejects) == rejects) {
            return;
        }
        if (rejects) {
            LOG.event("memory_limit_reached").with("history_bytes", shards.heldBytes()).warn();
        } else {
            LOG.event("memory_limit_ended").with("history_bytes", shards.heldBytes()).info();
        }
    }

    private static boolean rejectsReservation(ShardTable.Decision decision) {
        PeerReply reply =
                switch (decision) {
                    case ShardTable.Decision.Reply(PeerReply immediate) -> immediate;
                    case ShardTable.Decision.Replicate(var _, PeerReply confirmed, var _) ->
                            confirmed;
                };
        return reply instanceof PeerReply.Exhausted || reply instanceof PeerReply.Outstanding;
    }

    private static CompletableFuture<PeerReply> completed(PeerReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private CompletableFuture<PeerReply> persistAccepted(
            Option<PeerReply> rejection, ShardId shard, Seq<StoredRecord> records) {
        if (rejection.isDefined()) {
            return completed(rejection.get());
        }
        if (records.isEmpty()) {
            return completed(new PeerReply.Done());
        }
        return log.append(shard, records).thenApply(unused -> new PeerReply.Done());
    }

    /**
     * Logs the end of the epoch before replying, because the sender relies on the epoch remaining
     * ended even when this host restarts.
     */
    private CompletableFuture<PeerReply> collect(PeerRequest.Collect request) {
        PeerReply reply = shards.collect(request);
        if (!(reply instanceof PeerReply.Collected) || request.batch() > 0) {
            return completed(reply);
        }
        return log.append(request.shard(), Vector.of(new StoredRecord.EpochEnd(request.epoch())))
                .thenApply(unused -> reply);
    }

    private CompletableFuture<PeerReply> execute(ShardId shard, ShardTable.Decision decision) {
        return switch (decision) {
            case ShardTable.Decision.Reply(PeerReply reply) -> completed(reply);
            case ShardTable.Decision.Replicate(
                            Seq<StoredRecord> records,
                            PeerReply reply,
                            Epoch primarySince) -> {
                CompletableFuture<Void> localWrite =
                        records.isEmpty()
                                ? CompletableFuture.completedFuture(null)
                                : log.append(shard, records);
                long deadlineNanos = scheduler.nanoTime() + REPLICATION_TIMEOUT.toNanos();
                yield replicate(new Replication(shard, records, primarySince, deadlineNanos))
                        .thenCombine(
                                localWrite,
                                (confirmed, unused) -> confirmed ? reply : notConfirmed());
            }
        };
    }

    private static PeerReply notConfirmed() {
        return new PeerReply.Unavailable("not confirmed by enough members");
    }

    /** Records to replicate, with the epoch since which this host has been the primary. */
    private record Replication(
            ShardId shard, Seq<StoredRecord> records, Epoch primarySince, long deadlineNanos) {}

    /**
     * Replicates records to the members of the view, and again under the next view when the view
     * changes. Completes with false when the records are not confirmed within {@link
     * #REPLICATION_TIMEOUT}, or when another host may have been the primary since the decision,
     * which does not take into account what that host has confirmed.
     */
    private CompletableFuture<Boolean> replicate(Replication replication) {
        ShardTable.ReplicationTargets targets = shards.replicationTargets(replication.shard());
        return switch (targets) {
            case ShardTable.ReplicationTargets.None() -> CompletableFuture.completedFuture(false);
            case ShardTable.ReplicationTargets.Primary primary ->
                    primary.primarySince().equals(replication.primarySince())
                            ? appendToReceivers(primary, replication.records())
                                    .thenCompose(
                                            acknowledged ->
                                                    confirmOrRetry(
                                                            primary.view(),
                                                            acknowledged,
                                                            replication))
                            : CompletableFuture.completedFuture(false);
        };
    }

    private CompletableFuture<Boolean> confirmOrRetry(
            View view, boolean acknowledged, Replication replication) {
        if (acknowledged && isStillPrimary(view)) {
            return CompletableFuture.completedFuture(true);
        }
        if (scheduler.nanoTime() - replication.deadlineNanos() > 0) {
            LOG.event("not_confirmed")
                    .with("shard", replication.shard())
                    .with("epoch", view.epoch())
                    .with("members", view.members().map(StorageHost::host).mkString(","))
                    .info();
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> retried = new CompletableFuture<>();
        scheduler.after(RETRY_DELAY, () -> replicate(replication).thenAccept(retried::complete));
        return retried;
    }

    private boolean isStillPrimary(View view) {
        return shards.replicationTargets(view.shard())
                        instanceof
                        ShardTable.ReplicationTargets.Primary(View current, var _, var _, var _)
                && current.epoch().equals(view.epoch());
    }

    private CompletableFuture<Boolean> appendToReceivers(
            ShardTable.ReplicationTargets.Primary primary, Seq<StoredRecord> records) {
        View view = primary.view();
        Vector<StorageHost> receivers =
                primary.otherMembers()
                        .appendAll(primary.requiredReceivers().removeAll(primary.otherMembers()));
        int memberAcksNeeded = Math.min(writeQuorum, view.members().size()) - 1;
        AckTracker acks =
                new AckTracker(
                        memberAcksNeeded, primary.requiredReceivers().size(), receivers.size());
        for (StorageHost receiver : receivers) {
            PeerRequest request =
                    new PeerRequest.Append(view.shard(), view.epoch(), receiver.store(), records);
            boolean isMember = primary.otherMembers().contains(receiver);
            boolean isRequired = primary.requiredReceivers().contains(receiver);
            shards.appendSent(view, receiver);
            channel.send(receiver.address(), request, APPEND_TIMEOUT)
                    .thenAccept(
                            reply ->
                                    acks.onReply(
                                            isMember,
                                            isRequired,
                                            recordReply(view, receiver, reply)));
        }
        return acks.result();
    }

    private boolean recordReply(View view, StorageHost receiver, PeerReply reply) {
        if (reply instanceof PeerReply.Done) {
            shards.appendAcknowledged(view, receiver);
            return true;
        }
        if (reply instanceof PeerReply.Stale(Epoch epoch) && epoch.equals(view.epoch())) {
            shards.appendRejected(view);
        }
        return false;
    }
}
