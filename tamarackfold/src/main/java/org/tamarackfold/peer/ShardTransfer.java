package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.log.StructuredLog;

/** Transfers the records of a shard to all members of its next view before that view is written. */
final class ShardTransfer {
    private static final StructuredLog LOG = StructuredLog.of("layout");

    /** Timeout of one request that carries or returns a batch of records. */
    private static final Duration BATCH_TIMEOUT = Duration.ofSeconds(2);

    private final StorageHost self;
    private final ShardTable shards;
    private final RecordLog log;
    private final PeerChannel channel;

    ShardTransfer(StorageHost self, ShardTable shards, RecordLog log, PeerChannel channel) {
        this.self = self;
        this.shards = shards;
        this.log = log;
        this.channel = channel;
    }

    /**
     * Transfers the records for a change and logs the end of the current epoch on this host. The
     * future completes with true when all members of the next view hold all confirmed records.
     */
    CompletableFuture<Boolean> prepare(LayoutPlanner.Change change) {
        View view = change.current();
        CompletableFuture<Void> epochEndLogged =
                log.append(view.shard(), Vector.of(shards.markEpochEndLogged(view)));
        return transfer(change).thenCombine(epochEndLogged, (succeeded, unused) -> succeeded);
    }

    private CompletableFuture<Boolean> transfer(LayoutPlanner.Change change) {
        if (!change.current().hasPrimary(self.store())) {
            return takeOver(change);
        }
        Vector<StorageHost> next = change.next().members();
        // If all members stay, enough of them hold each record; only the new primary needs all.
        return copyMissing(change.current(), change.hasSameMembers() ? next.take(1) : next);
    }

    private static CompletableFuture<Boolean> completed(boolean value) {
        return CompletableFuture.completedFuture(value);
    }

    /**
     * Requires the given members to acknowledge all new records from now on, and copies the
     * existing records to those that may lack some.
     */
    private CompletableFuture<Boolean> copyMissing(View view, Vector<StorageHost> members) {
        shards.setRequiredReceivers(view.shard(), members);
        Vector<StorageHost> incomplete =
                others(members).reject(member -> shards.isComplete(view.shard(), member));
        return incomplete.isEmpty()
                ? completed(true)
                : copyToAll(view, incomplete, shards.snapshot(view.shard()));
    }

    private Vector<StorageHost> others(Vector<StorageHost> members) {
        return members.reject(member -> member.store().equals(self.store()));
    }

    /**
     * What is known of the records of a member, which has ended the epoch. The records themselves
     * are merged as they arrive: together, with their whole histories, they may exceed the heap.
     */
    private record CollectedRecords(StorageHost source, Set<Object> held) {
        /** Returns those of the given records that the member lacks. */
        Vector<StoredRecord> missing(Vector<StoredRecord> candidates) {
            return candidates.reject(record -> held.contains(record.identity()));
        }
    }

    /** Ends the epoch on this host and the other members, and merges their records. */
    private CompletableFuture<Boolean> takeOver(LayoutPlanner.Change change) {
        shards.fence(change.current().shard());
        CompletableFuture<Option<Vector<CollectedRecords>>> allCollected =
                CompletableFuture.completedFuture(Option.some(Vector.empty()));
        for (StorageHost source : change.sources()) {
            allCollected =
                    allCollected.thenCompose(soFar -> collect(change.current(), source, soFar));
        }
        return allCollected.thenCompose(
                collected ->
                        collected.isEmpty()
                                ? completed(false)
                                : copyMerged(change, collected.get()));
    }

    private CompletableFuture<Option<Vector<CollectedRecords>>> collect(
            View view, StorageHost source, Option<Vector<CollectedRecords>> soFar) {
        if (soFar.isEmpty()) {
            return CompletableFuture.completedFuture(Option.none());
        }
        CompletableFuture<Void> nothingToWrite = CompletableFuture.completedFuture(null);
        return collect(view, new CollectedRecords(source, new HashSet<>()), 0, nothingToWrite)
                .thenApply(collected -> collected.map(soFar.get()::append));
    }

    /**
     * Collects the batches from the given index on, merges and logs each. Merging needs no complete
     * set: records can be applied in any order, and a host may hold more than the confirmed ones.
     *
     * @param previousWrite the log write of the batch before, so that no more than two wait for it
     */
    private CompletableFuture<Option<CollectedRecords>> collect(
            View view, CollectedRecords soFar, int batch, CompletableFuture<Void> previousWrite) {
        StorageHost source = soFar.source();
        PeerRequest request =
                new PeerRequest.Collect(view.shard(), view.epoch(), source.store(), batch);
        return channel.send(source.address(), request, BATCH_TIMEOUT)
                .thenCombine(previousWrite, (reply, unused) -> reply)
                .thenCompose(
                        reply -> {
                            if (!(reply instanceof PeerReply.Collected(var records, int batches))) {
                                logFailure("collect_failed", view, source, reply);
                                return CompletableFuture.completedFuture(Option.none());
                            }
                            CompletableFuture<Void> write = merge(view, soFar, records);
                            return batch + 1 < batches
                                    ? collect(view, soFar, batch + 1, write)
                                    : write.thenApply(unused -> Option.some(soFar));
                        });
    }

    private CompletableFuture<Void> merge(
            View view, CollectedRecords collected, Seq<StoredRecord> records) {
        records.map(StoredRecord::identity).forEach(collected.held()::add);
        shards.merge(view.shard(), records);
        return log.append(view.shard(), records);
    }

    /** Copies to every member that stays or joins the records that it lacks. */
    private CompletableFuture<Boolean> copyMerged(
            LayoutPlanner.Change change, Vector<CollectedRecords> collected) {
        View view = change.current();
        Vector<StoredRecord> merged = shards.snapshot(view.shard());
        CompletableFuture<Boolean> allCopied = completed(true);
        for (CollectedRecords from : collected.filter(r -> change.kept().contains(r.source()))) {
            allCopied =
                    allCopied.thenCombine(
                            copy(view, from.source(), from.missing(merged)), Boolean::logicalAnd);
        }
        return allCopied.thenCombine(
                copyToAll(view, change.joiners(), merged), Boolean::logicalAnd);
    }

    private CompletableFuture<Boolean> copyToAll(
            View view, Vector<StorageHost> receivers, Vector<StoredRecord> records) {
        CompletableFuture<Boolean> allCopied = completed(true);
        for (StorageHost receiver : receivers) {
            allCopied = allCopied.thenCombine(copy(view, receiver, records), Boolean::logicalAnd);
        }
        return allCopied;
    }

    private CompletableFuture<Boolean> copy(
            View view, StorageHost receiver, Vector<StoredRecord> records) {
        CompletableFuture<Boolean> allCopied = completed(true);
        if (records.isEmpty()) {
            return allCopied;
        }
        for (Vector<StoredRecord> batch : RecordBatches.of(records)) {
            allCopied =
                    allCopied.thenCompose(
                            succeeded ->
                                    succeeded
                                            ? copyBatch(view, receiver, batch)
                                            : completed(false));
        }
        return allCopied;
    }

    private CompletableFuture<Boolean> copyBatch(
            View view, StorageHost receiver, Vector<StoredRecord> batch) {
        PeerRequest request = new PeerRequest.Copy(view.shard(), receiver.store(), batch);
        return channel.send(receiver.address(), request, BATCH_TIMEOUT)
                .thenApply(
                        reply -> {
                            if (!(reply instanceof PeerReply.Done)) {
                                logFailure("copy_failed", view, receiver, reply);
                            }
                            return reply instanceof PeerReply.Done;
                        });
    }

    private static void logFailure(String event, View view, StorageHost member, PeerReply reply) {
        LOG.event(event)
                .with("shard", view.shard())
                .with("epoch", view.epoch())
                .with("host", member.host())
                .with("reply", reply)
                .info();
    }
}
