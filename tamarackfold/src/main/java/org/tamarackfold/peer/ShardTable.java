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

    private static final Epoch NO_EPOCH = new Epoch(-1);

    private static final class Shard {
        private final ShardRecords records = new ShardRecords();
        private final CopyProgress copies = new CopyProgress();
        private View view;
        private Epoch term = NO_EPOCH;
        private Epoch highestSeen = NO_EPOCH;

        /** This host is about to take the shard over, unless it gives the change up. */
        private boolean fenced;

        /** Latest epoch in which this host takes no part any more. */
        private Epoch endedThrough = NO_EPOCH;

        /** Latest epoch whose end the log holds; in force after a restart. */
        private Epoch loggedEnd = NO_EPOCH;

        /** What a host that takes over is reading, in batches. */
        private Vector<Vector<StoredRecord>> collected = Vector.empty();

        /** Latest epoch of which a member accepts no more records. */
        private Epoch refused = NO_EPOCH;

        private Set<Member> joining = HashSet.empty();

        void endEpoch(Epoch epoch) {
            endedThrough = later(endedThrough, epoch);
            loggedEnd = later(loggedEnd, epoch);
            highestSeen = later(highestSeen, epoch);
        }
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
         * Copy records to enough members, then reply.
         *
         * @param records the records; none when only the view has to be confirmed
         * @param reply the reply
         * @param term the first of the epochs in which this host has been the primary since; in
         *     another term the decision no longer holds
         */
        record Replicate(Seq<StoredRecord> records, PeerReply reply, Epoch term)
                implements Decision {}
    }

    /** Where records have to be copied to. */
    sealed interface Targets {
        /**
         * This host is the primary.
         *
         * @param view the view
         * @param term the first of the epochs in which this host has been the primary since
         * @param others the other members
         * @param required the hosts that a change of the view requires to hold all records
         */
        record Primary(View view, Epoch term, Vector<Member> others, Vector<Member> required)
                implements Targets {}

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
        lock.run(
                () -> {
                    if (record instanceof StoredRecord.EpochEnd(Epoch epoch)) {
                        shard(id).endEpoch(epoch);
                    } else {
                        shard(id).records.apply(record);
                    }
                });
    }

    /** Returns the record that ends the epoch of a view on this host, to be logged. */
    StoredRecord.EpochEnd endOf(View view) {
        return lock.locked(
                () -> {
                    Shard shard = shard(view.shard());
                    shard.loggedEnd = later(shard.loggedEnd, view.epoch());
                    return new StoredRecord.EpochEnd(view.epoch());
                });
    }

    private static Epoch later(Epoch first, Epoch second) {
        return first.compareTo(second) >= 0 ? first : second;
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
        if (!continuesTerm(shard.view, view)) {
            shard.term = view.epoch();
        }
        shard.view = view;
        shard.fenced = false;
        shard.joining = HashSet.empty();
        shard.collected = Vector.empty();
        // A member that holds a record without its primary holds one that was never confirmed.
        Set<Member> complete =
                shard.records.size() == 0 ? HashSet.ofAll(view.members()) : HashSet.empty();
        shard.copies.start(view.epoch(), complete.map(Member::store));
        shard.highestSeen = later(shard.highestSeen, view.epoch());
    }

    private static boolean continuesTerm(View before, View after) {
        return before != null
                && before.epoch().next().equals(after.epoch())
                && before.primary().equals(after.primary());
    }

    /** Stops this host from confirming records under the current epoch of a shard. */
    void fence(ShardId id) {
        lock.run(() -> shard(id).fenced = true);
    }

    /** Lets this host act again after a change of the view was given up. */
    void unfence(ShardId id) {
        lock.run(() -> shard(id).fenced = false);
    }

    /** The members of a view in force all hold the records of its shard. */
    void established(View view) {
        lock.run(
                () -> {
                    Shard shard = shard(view.shard());
                    if (view.equals(shard.view)) {
                        shard.copies.start(
                                view.epoch(), HashSet.ofAll(view.members()).map(Member::store));
                    }
                });
    }

    /** Requires hosts to hold new records while they receive the present ones. */
    void startJoining(ShardId id, Seq<Member> members) {
        lock.run(
                () ->
                        shard(id).joining =
                                HashSet.ofAll(members)
                                        .reject(member -> member.store().equals(ownStore)));
    }

    /** Tells whether a member certainly holds all records of a shard. */
    boolean isComplete(ShardId id, Member member) {
        return lock.locked(() -> shard(id).copies.isComplete(member.store()));
    }

    /** Records have been sent to a member under a view. */
    void copySent(View view, Member member) {
        lock.run(() -> shard(view.shard()).copies.sent(view.epoch(), member.store()));
    }

    /** A member has acknowledged records under a view. */
    void copyAcknowledged(View view, Member member) {
        lock.run(() -> shard(view.shard()).copies.acknowledged(view.epoch(), member.store()));
    }

    /**
     * A member accepts no more records of an epoch, because a host that wanted to take the shard
     * over has collected them. Where that host gave up, only a new epoch brings the member back.
     */
    void copyRefused(View view) {
        lock.run(() -> shard(view.shard()).refused = view.epoch());
    }

    /** Tells whether a view needs a new epoch although its members may stay. */
    boolean needsNewEpoch(View view) {
        return lock.locked(
                () -> {
                    Shard shard = shard(view.shard());
                    return shard.refused.equals(view.epoch())
                            || shard.endedThrough.compareTo(view.epoch()) >= 0;
                });
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
                    return new Targets.Primary(
                            shard.view,
                            shard.term,
                            shard.view.members().tail(),
                            shard.joining.toVector());
                });
    }

    private boolean isPrimary(Shard shard) {
        return shard.view != null
                && !shard.fenced
                && shard.endedThrough.compareTo(shard.view.epoch()) < 0
                && shard.view.hasPrimary(ownStore)
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
                    return decideReservation(shard, request, nowMillis);
                });
    }

    private static Decision decideReservation(
            Shard shard, PeerRequest.Reserve request, long nowMillis) {
        ShardRecords records = shard.records;
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
        return new Decision.Replicate(Vector.of(charge), new PeerReply.Done(), shard.term);
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
                    return new Decision.Replicate(
                            Vector.of(record), new PeerReply.Done(), shard.term);
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
                    return new Decision.Replicate(
                            Vector.empty(), new PeerReply.Absent(), shard.term);
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
                    if (request.epoch().compareTo(shard.endedThrough) <= 0) {
                        return Option.some(new PeerReply.Stale(shard.highestSeen));
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
     * A host that is about to join accepts every copy: a primary also needs the consent of enough
     * members of its view, and those that take part in a later view refuse it.
     */
    private boolean isMember(Shard shard) {
        return shard.view != null && shard.view.contains(ownStore);
    }

    /** Applies records that this host is to hold under any epoch; none when accepted. */
    Option<PeerReply> copy(PeerRequest.Copy request) {
        if (!request.target().equals(ownStore)) {
            return Option.some(new PeerReply.Unavailable("another store"));
        }
        merge(request.shard(), request.records());
        return Option.none();
    }

    /** Applies records that were collected from another member. */
    void merge(ShardId id, Seq<StoredRecord> records) {
        lock.run(() -> records.forEach(shard(id).records::apply));
    }

    /** Gives the records of a shard to a host that takes it over, and ends the epoch here. */
    PeerReply collect(PeerRequest.Collect request) {
        return lock.locked(
                () -> {
                    Shard shard = shard(request.shard());
                    if (!request.target().equals(ownStore)) {
                        return new PeerReply.Unavailable("another store");
                    }
                    if (request.epoch().compareTo(shard.highestSeen) < 0) {
                        return new PeerReply.Stale(shard.highestSeen);
                    }
                    shard.endEpoch(request.epoch());
                    if (request.batch() == 0) {
                        shard.collected = RecordBatches.of(shard.records.all());
                    }
                    if (request.batch() >= shard.collected.size()) {
                        return new PeerReply.Unavailable("no such batch");
                    }
                    return new PeerReply.Collected(
                            shard.collected.get(request.batch()), shard.collected.size());
                });
    }

    /** Returns what the log has to keep of a shard. */
    public Vector<StoredRecord> durableRecords(ShardId id) {
        return lock.locked(
                () -> {
                    Shard shard = shard(id);
                    Vector<StoredRecord> records = shard.records.all();
                    return shard.loggedEnd.equals(NO_EPOCH)
                            ? records
                            : records.append(new StoredRecord.EpochEnd(shard.loggedEnd));
                });
    }

    /** Returns all records of the programs of a shard. */
    Vector<StoredRecord> snapshot(ShardId id) {
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
