package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.tamarackfold.log.StructuredLog;

/** Brings the records of a shard to all members of its next view before that view is in force. */
final class ShardTransfer {
    private static final StructuredLog LOG = StructuredLog.of("layout");

    /** Longest wait for one batch of records. */
    private static final Duration BATCH_TIMEOUT = Duration.ofSeconds(2);

    private final Member self;
    private final ShardTable shards;
    private final RecordLog log;
    private final PeerChannel channel;

    ShardTransfer(Member self, ShardTable shards, RecordLog log, PeerChannel channel) {
        this.self = self;
        this.shards = shards;
        this.log = log;
        this.channel = channel;
    }

    /** Completes with whether all members of the next view hold all confirmed records. */
    CompletableFuture<Boolean> prepare(LayoutPlanner.Change change) {
        View view = change.current();
        CompletableFuture<Void> ended = log.append(view.shard(), Vector.of(shards.endOf(view)));
        return transfer(change).thenCombine(ended, (good, unused) -> good);
    }

    private CompletableFuture<Boolean> transfer(LayoutPlanner.Change change) {
        if (!change.current().hasPrimary(self.store())) {
            return takeOver(change);
        }
        Vector<Member> next = change.next().members();
        // Where all members stay, enough of them hold each record, and the new primary needs all.
        return complete(change.current(), change.hasSameMembers() ? next.take(1) : next);
    }

    private static CompletableFuture<Boolean> done(boolean value) {
        return CompletableFuture.completedFuture(value);
    }

    /** New records go to these members from now on; those that lack others receive all. */
    private CompletableFuture<Boolean> complete(View view, Vector<Member> members) {
        shards.startJoining(view.shard(), members);
        Vector<Member> incomplete =
                others(members).reject(member -> shards.isComplete(view.shard(), member));
        return incomplete.isEmpty()
                ? done(true)
                : copyToAll(view, incomplete, shards.snapshot(view.shard()));
    }

    private Vector<Member> others(Vector<Member> members) {
        return members.reject(member -> member.store().equals(self.store()));
    }

    /** The records of a member that has ended the epoch. */
    private record Collected(Member source, Vector<StoredRecord> records) {
        /** Returns the records that the member lacks. */
        Vector<StoredRecord> missing(Vector<StoredRecord> all) {
            Set<Object> present =
                    records.toJavaStream().map(StoredRecord::identity).collect(Collectors.toSet());
            return all.reject(record -> present.contains(record.identity()));
        }
    }

    /** Ends the epoch here and at the other members, and unites their records. */
    private CompletableFuture<Boolean> takeOver(LayoutPlanner.Change change) {
        shards.fence(change.current().shard());
        CompletableFuture<Option<Vector<Collected>>> all =
                CompletableFuture.completedFuture(Option.some(Vector.empty()));
        for (Member source : change.sources()) {
            all = all.thenCompose(before -> collect(change.current(), source, before));
        }
        return all.thenCompose(
                collected -> collected.isEmpty() ? done(false) : unite(change, collected.get()));
    }

    private CompletableFuture<Option<Vector<Collected>>> collect(
            View view, Member source, Option<Vector<Collected>> before) {
        if (before.isEmpty()) {
            return CompletableFuture.completedFuture(Option.none());
        }
        return collect(view, source, 0, Vector.empty())
                .thenApply(
                        records -> records.map(r -> before.get().append(new Collected(source, r))));
    }

    private CompletableFuture<Option<Vector<StoredRecord>>> collect(
            View view, Member source, int batch, Vector<StoredRecord> before) {
        PeerRequest request =
                new PeerRequest.Collect(view.shard(), view.epoch(), source.store(), batch);
        return channel.send(source.address(), request, BATCH_TIMEOUT)
                .thenCompose(
                        reply -> {
                            if (!(reply instanceof PeerReply.Collected(var records, int batches))) {
                                logFailure("collect_failed", view, source, reply);
                                return CompletableFuture.completedFuture(Option.none());
                            }
                            Vector<StoredRecord> all = before.appendAll(records);
                            return batch + 1 < batches
                                    ? collect(view, source, batch + 1, all)
                                    : CompletableFuture.completedFuture(Option.some(all));
                        });
    }

    /** Gives every member that stays, and every joining one, what it lacks. */
    private CompletableFuture<Boolean> unite(
            LayoutPlanner.Change change, Vector<Collected> collected) {
        View view = change.current();
        Vector<StoredRecord> theirs = collected.flatMap(Collected::records);
        shards.merge(view.shard(), theirs);
        Vector<StoredRecord> united = shards.snapshot(view.shard());
        CompletableFuture<Boolean> all = log.append(view.shard(), theirs).thenApply(unused -> true);
        for (Collected member : collected.filter(c -> change.kept().contains(c.source()))) {
            all =
                    all.thenCombine(
                            copy(view, member.source(), member.missing(united)),
                            Boolean::logicalAnd);
        }
        return all.thenCombine(copyToAll(view, change.joiners(), united), Boolean::logicalAnd);
    }

    private CompletableFuture<Boolean> copyToAll(
            View view, Vector<Member> receivers, Vector<StoredRecord> records) {
        CompletableFuture<Boolean> all = done(true);
        for (Member receiver : receivers) {
            all = all.thenCombine(copy(view, receiver, records), Boolean::logicalAnd);
        }
        return all;
    }

    private CompletableFuture<Boolean> copy(
            View view, Member receiver, Vector<StoredRecord> records) {
        CompletableFuture<Boolean> all = done(true);
        if (records.isEmpty()) {
            return all;
        }
        for (Vector<StoredRecord> batch : RecordBatches.of(records)) {
            all = all.thenCompose(good -> good ? copyBatch(view, receiver, batch) : done(false));
        }
        return all;
    }

    private CompletableFuture<Boolean> copyBatch(
            View view, Member receiver, Vector<StoredRecord> batch) {
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

    private static void logFailure(String event, View view, Member peer, PeerReply reply) {
        LOG.event(event)
                .with("shard", view.shard())
                .with("epoch", view.epoch())
                .with("host", peer.host())
                .with("reply", reply)
                .info();
    }
}
