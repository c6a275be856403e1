package org.tamarackfold.peer;

import io.vavr.collection.HashSet;
import io.vavr.collection.Seq;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * The shards of a storage host: their views, whether this host may act in them, and their records.
 * Decides; sends nothing and writes nothing.
 */
public final class ShardTable {
    /** Budget records are kept this long after their last change, in milliseconds. */
    private static final long CHARGE_KEEP_MILLIS = 180_000;

    /** Added to the retention of turns against clocks that differ between hosts, in ms. */
    private static final long CLOCK_MARGIN_MILLIS = 30_000;

    private static final class Shard {
        private final ShardRecords records = new ShardRecords();
        private View view;
        private Epoch highestSeen = new Epoch(-1);
        private boolean fenced;
        private Set<Member> joining = HashSet.empty();
    }

    /** What a primary has to do for a request. */
    sealed interface Decision {
        /**
         * Reply at once.
         *
         * @param reply the reply
         */
        record Reply(PeerReply reply) implements Decision {}

        /**
         * Copy records to all members, then reply.
         *
         * @param records the records; none when only the view has to be confirmed
         * @param reply the reply
         */
        record Replicate(Seq<StoredRecord> records, PeerReply reply) implements Decision {}
    }

    /** Where records have to be copied to. */
    sealed interface Targets {
        /**
         * This host is the primary.
         *
         * @param view the view
         * @param others the other members, and the hosts that are about to join
         */
        record Primary(View view, Vector<Member> others) implements Targets {}

        /** This host is not the primary, or is giving the shard away. */
        record None() implements Targets {}
    }

    private final TableLock lock = new TableLock(LockRank.SHARDS);
    private final Map<ShardId, Shard> shards = new HashMap<>();
    private final StoreId ownStore;

    /** Creates an empty table for the files of this host. */
    public ShardTable(StoreId ownStore) {
        this.ownStore = ownStore;
    }

    private Shard shard(ShardId id) {
        return shards.computeIfAbsent(id, unused -> new Shard());
    }

    /** Applies a record that the log held at the start of the process. */
    public void restore(ShardId id, StoredRecord record) {
        lock.run(() -> shard(id).records.apply(record));
    }

    /** Takes over the views of a layout. */
    void adopt(Layout layout) {
        lock.run(() -> layout.views().forEach(this::adoptView));
    }

    private void adoptView(View view) {
        Shard shard = shard(view.shard());
        if (shard.view != null && shard.view.epoch().compareTo(view.epoch()) >= 0) {
            return;
        }
        shard.view = view;
        shard.fenced = false;
        shard.joining = HashSet.empty();
        if (shard.highestSeen.compareTo(view.epoch()) < 0) {
            shard.highestSeen = view.epoch();
        }
    }

    /** Stops this host from confirming records under the current epoch of a shard. */
    void fence(ShardId id) {
        lock.run(() -> shard(id).fenced = true);
    }

    /** Lets this host act again after a change of the view was given up. */
    void unfence(ShardId id) {
        lock.run(() -> shard(id).fenced = false);
    }

    /** Adds hosts to which new records are copied while they receive the present ones. */
    void startJoining(ShardId id, Seq<Member> members) {
        lock.run(() -> shard(id).joining = shard(id).joining.addAll(members));
    }

    /** Forgets joining hosts after a change of the view was given up. */
    void stopJoining(ShardId id) {
        lock.run(() -> shard(id).joining = HashSet.empty());
    }

    /** Returns where records of a shard have to be copied to. */
    Targets targets(ShardId id) {
        return lock.locked(
                () -> {
                    Shard shard = shard(id);
                    if (!isPrimary(shard)) {
                        return new Targets.None();
                    }
                    Vector<Member> others = shard.view.members().tail();
                    return new Targets.Primary(
                            shard.view, others.appendAll(shard.joining.removeAll(others)));
                });
    }

    private boolean isPrimary(Shard shard) {
        return shard.view != null
                && !shard.fenced
                && shard.view.primary().store().equals(ownStore)
                && shard.highestSeen.compareTo(shard.view.epoch()) <= 0;
    }

    /** Decides on a reservation. */
    Decision reserve(PeerRequest.Reserve request, long nowMillis) {
        return lock.locked(
                () -> {
                    Shard shard = shard(request.shard());
                    if (!isPrimary(shard)) {
                        return new Decision.Reply(new PeerReply.NotPrimary());
                    }
                    return decideReservation(shard.records, request, nowMillis);
                });
    }

    private static Decision decideReservation(
            ShardRecords records, PeerRequest.Reserve request, long nowMillis) {
        Option<StoredRecord.Charge> present = records.charge(request.program(), request.call());
        if (present.exists(StoredRecord.Charge::settled)) {
            return new Decision.Reply(new PeerReply.Unavailable("the turn has been settled"));
        }
        long others = records.chargedWithout(request.program(), request.call());
        if (others + request.tokens() > request.budgetTokens()) {
            return new Decision.Reply(new PeerReply.Exhausted());
        }
        StoredRecord charge =
                new StoredRecord.Charge(
                        request.program(),
                        request.call(),
                        request.tokens(),
                        false,
                        nowMillis + CHARGE_KEEP_MILLIS);
        records.apply(charge);
        return new Decision.Replicate(Vector.of(charge), new PeerReply.Done());
    }

    /** Decides on a settlement. */
    Decision settle(PeerRequest.Settle request, long nowMillis) {
        StoredRecord charge =
                new StoredRecord.Charge(
                        request.program(),
                        request.call(),
                        request.tokens(),
                        true,
                        nowMillis + CHARGE_KEEP_MILLIS);
        return applyAsPrimary(request.shard(), charge);
    }

    /** Decides on storing a history. */
    Decision store(PeerRequest.Store request, long nowMillis) {
        long keepUntil = nowMillis + request.retention().toMillis() + CLOCK_MARGIN_MILLIS;
        return applyAsPrimary(
                request.shard(), new StoredRecord.Turn(request.call(), request.text(), keepUntil));
    }

    private Decision applyAsPrimary(ShardId id, StoredRecord record) {
        return lock.locked(
                () -> {
                    Shard shard = shard(id);
                    if (!isPrimary(shard)) {
                        return new Decision.Reply(new PeerReply.NotPrimary());
                    }
                    shard.records.apply(record);
                    return new Decision.Replicate(Vector.of(record), new PeerReply.Done());
                });
    }

    /**
     * Decides on reading a history. That a turn is absent is only certain while this host is the
     * primary, so the view is confirmed by the other members first.
     */
    Decision lookUp(PeerRequest.LookUp request) {
        return lock.locked(
                () -> {
                    Shard shard = shard(request.shard());
                    Option<byte[]> found = shard.records.history(request.call());
                    if (found.isDefined()) {
                        return new Decision.Reply(new PeerReply.Found(found.get()));
                    }
                    if (!isPrimary(shard)) {
                        return new Decision.Reply(new PeerReply.NotPrimary());
                    }
                    return new Decision.Replicate(Vector.empty(), new PeerReply.Absent());
                });
    }

    /** Applies copied records; none when they are accepted, otherwise the rejection. */
    Option<PeerReply> append(PeerRequest.Append request) {
        return lock.locked(
                () -> {
                    Shard shard = shard(request.shard());
                    if (!request.target().equals(ownStore)) {
                        return Option.some(new PeerReply.Unavailable("another store"));
                    }
                    if (isMember(shard)) {
                        int order = request.epoch().compareTo(shard.highestSeen);
                        if (order < 0 || (order == 0 && shard.fenced)) {
                            return Option.some(new PeerReply.Stale(shard.highestSeen));
                        }
                        shard.highestSeen = request.epoch();
                    }
                    request.records().forEach(shard.records::apply);
                    return Option.none();
                });
    }

    /**
     * A host that is about to join accepts every copy: a primary also needs the consent of all
     * members of its view, and a member that starts a later view refuses it.
     */
    private boolean isMember(Shard shard) {
        return shard.view != null && shard.view.contains(ownStore);
    }

    /** Returns all records of a shard, for a joining host or a compaction of the log. */
    public Vector<StoredRecord> snapshot(ShardId id) {
        return lock.locked(() -> shard(id).records.all());
    }

    /** Returns the shards that this host has records of. */
    public Vector<ShardId> shardIds() {
        return lock.locked(() -> Vector.ofAll(shards.keySet()));
    }

    /** Removes expired records; returns how many. */
    public int removeExpired(long nowMillis) {
        return lock.locked(
                () ->
                        shards.values().stream()
                                .mapToInt(shard -> shard.records.removeExpired(nowMillis))
                                .sum());
    }
}
