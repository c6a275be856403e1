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
 * The shards of a storage host: their views, the epochs in which this host may act, and their
 * records. Makes the decisions of the replication protocol without any I/O. Thread-safe.
 */
public final class ShardTable {
    /** Added to the retention of turns, because the clocks of hosts differ, in milliseconds. */
    private static final long CLOCK_SKEW_MARGIN_MILLIS = 30_000;

    private static final Epoch NO_EPOCH = new Epoch(-1);

    private static final class Shard {
        private final ShardRecords records = new ShardRecords();
        private final ReplicationProgress progress = new ReplicationProgress();
        private View view;

        /** Epoch since which the primary of the view has been the primary without interruption. */
        private Epoch primarySince = NO_EPOCH;

        /** Highest epoch that this host knows from a view, an append or a takeover. */
        private Epoch highestEpoch = NO_EPOCH;

        /**
         * Set while this host prepares to take over the shard: it neither confirms nor accepts
         * records under the current epoch until the change is made or abandoned.
         */
        private boolean fenced;

        /**
         * Latest epoch that has ended on this host: in it and earlier ones, the host is not the
         * primary and rejects appends.
         */
        private Epoch endedEpoch = NO_EPOCH;

        /** Latest epoch whose end is in the log, so that it remains ended after a restart. */
        private Epoch loggedEndedEpoch = NO_EPOCH;

        /** Snapshot of the records for the host that takes over and reads it in batches. */
        private Vector<Vector<StoredRecord>> collectedBatches = Vector.empty();

        /**
         * Latest epoch in which a member has rejected an append, because it has ended the epoch.
         */
        private Epoch rejectedEpoch = NO_EPOCH;

        /** Hosts that must acknowledge each new record because of a change of the view. */
        private Set<StorageHost> requiredReceivers = HashSet.empty();

        /** Next view that this host has prepared: all its members hold all records. */
        private Option<View> preparedView = Option.none();

        void endEpoch(Epoch epoch) {
            endedEpoch = max(endedEpoch, epoch);
            loggedEndedEpoch = max(loggedEndedEpoch, epoch);
            highestEpoch = max(highestEpoch, epoch);
        }
    }

    /** What a primary must do to answer a request. */
    sealed interface Decision {
        /**
         * Reply at once.
         *
         * @param reply the reply
         */
        record Reply(PeerReply reply) implements Decision {}

        /**
         * Replicate records to the write quorum, then reply.
         *
         * @param records the records; empty to verify only that this host is still the primary
         * @param reply the reply
         * @param primarySince the epoch since which this host has been the primary without
         *     interruption; when it changes, the decision is no longer valid
         */
        record Replicate(Seq<StoredRecord> records, PeerReply reply, Epoch primarySince)
                implements Decision {}
    }

    /** The hosts to which new records must be sent. */
    sealed interface ReplicationTargets {
        /**
         * This host is the primary.
         *
         * @param view the current view
         * @param primarySince the epoch since which this host has been the primary without
         *     interruption
         * @param otherMembers the members except this host
         * @param requiredReceivers the hosts, members or not, that must all acknowledge because a
         *     change of the view requires them to hold all records
         */
        record Primary(
                View view,
                Epoch primarySince,
                Vector<StorageHost> otherMembers,
                Vector<StorageHost> requiredReceivers)
                implements ReplicationTargets {}

        /** This host is not the primary, or may no longer act as the primary. */
        record None() implements ReplicationTargets {}
    }

    private final TableLock lock = new TableLock(LockRank.SHARDS);
    private final Map<ShardId, Shard> shards = new HashMap<>();
    private final StoreId ownStore;
    private final HistoryMemoryLimit memoryLimit;
    private final DiskLimit diskLimit;

    /** Creates an empty table for the given store of this host, without a limit of memory. */
    public ShardTable(StoreId ownStore) {
        this(ownStore, Long.MAX_VALUE, 0);
    }

    /**
     * Creates an empty table for the given store of this host.
     *
     * @param heapBytes the largest size of the heap, of which histories may use a part
     * @param diskBytes the size of the disk, of which the log may use a part; 0 for no limit
     */
    public ShardTable(StoreId ownStore, long heapBytes, long diskBytes) {
        this.ownStore = ownStore;
        this.memoryLimit = new HistoryMemoryLimit(heapBytes);
        this.diskLimit = new DiskLimit(diskBytes);
    }

    private Shard shard(ShardId id) {
        return shards.computeIfAbsent(id, unused -> new Shard());
    }

    /**
     * Applies a record that was read from the log when the process started. Leaves out turns that
     * have expired: a log may hold many more of them than fit into the heap. Charges are small, and
     * those of a program are removed together only.
     *
     * @param nowMillis the Unix time
     */
    public void restore(ShardId id, StoredRecord record, long nowMillis) {
        lock.run(
                () -> {
                    switch (record) {
                        case StoredRecord.EpochEnd(Epoch epoch) -> shard(id).endEpoch(epoch);
                        case StoredRecord.Charge charge -> shard(id).records.apply(charge);
                        case StoredRecord.Turn turn -> {
                            if (turn.keepUntilMillis() >= nowMillis) {
                                shard(id).records.apply(turn);
                            }
                        }
                    }
                });
    }

    /**
     * Marks the end of an epoch as logged, so that a compaction of the log keeps it. Returns its
     * record, which must be appended to the log at once.
     */
    StoredRecord.EpochEnd markEpochEndLogged(View view) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(view.shard());
                    shard.loggedEndedEpoch = max(shard.loggedEndedEpoch, view.epoch());
                    return new StoredRecord.EpochEnd(view.epoch());
                });
    }

    private static Epoch max(Epoch first, Epoch second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** Adopts the views of a layout that are newer than the current ones. */
    void adopt(Layout layout) {
        lock.run(() -> layout.views().forEach(this::adoptView));
    }

    private void adoptView(View view) {
        Shard shard = shard(view.shard());
        if (shard.view != null && shard.view.epoch().compareTo(view.epoch()) >= 0) {
            return;
        }
        if (!continuesWithSamePrimary(shard.view, view)) {
            shard.primarySince = view.epoch();
        }
        shard.view = view;
        shard.fenced = false;
        shard.requiredReceivers = HashSet.empty();
        shard.collectedBatches = Vector.empty();
        // If this host holds no records, every member counts as complete: a record that the
        // primary lacks was never confirmed.
        boolean complete = shard.records.size() == 0 || shard.preparedView.contains(view);
        Set<StorageHost> completeMembers =
                complete ? HashSet.ofAll(view.members()) : HashSet.empty();
        shard.progress.startEpoch(view.epoch(), completeMembers.map(StorageHost::store));
        shard.preparedView = Option.none();
        shard.highestEpoch = max(shard.highestEpoch, view.epoch());
    }

    private static boolean continuesWithSamePrimary(View previous, View next) {
        return previous != null
                && previous.epoch().next().equals(next.epoch())
                && previous.primary().equals(next.primary());
    }

    /** Stops this host from confirming or accepting records under the current epoch of a shard. */
    void fence(ShardId id) {
        lock.run(() -> shard(id).fenced = true);
    }

    /** Lets this host act in the current epoch again after a change of the view was abandoned. */
    void unfence(ShardId id) {
        lock.run(() -> shard(id).fenced = false);
    }

    /**
     * Notes that all members of the next view hold all records and will receive all further ones of
     * the current epoch. They count as complete from the moment at which the view is adopted:
     * records confirmed after it may be missing on some of them.
     */
    void markPrepared(View next) {
        lock.run(() -> shard(next.shard()).preparedView = Option.some(next));
    }

    /**
     * Requires the given hosts, except this one, to acknowledge each new record from now on, while
     * they receive the existing records.
     */
    void setRequiredReceivers(ShardId id, Seq<StorageHost> receivers) {
        lock.run(
                () ->
                        shard(id).requiredReceivers =
                                HashSet.ofAll(receivers)
                                        .reject(receiver -> receiver.store().equals(ownStore)));
    }

    /** Returns whether a host is known to hold all records of a shard. */
    boolean isComplete(ShardId id, StorageHost host) {
        return lock.withLock(() -> shard(id).progress.isComplete(host.store()));
    }

    /** Counts an append that was sent to a host under a view. */
    void appendSent(View view, StorageHost receiver) {
        lock.run(() -> shard(view.shard()).progress.onSent(view.epoch(), receiver.store()));
    }

    /** Counts an append that a host has acknowledged under a view. */
    void appendAcknowledged(View view, StorageHost receiver) {
        lock.run(() -> shard(view.shard()).progress.onAcknowledged(view.epoch(), receiver.store()));
    }

    /**
     * Notes that a member has rejected an append, because it ended the epoch when another host
     * collected its records for a takeover. If that host abandons the takeover, the member accepts
     * appends again only in a new epoch.
     */
    void appendRejected(View view) {
        lock.run(() -> shard(view.shard()).rejectedEpoch = view.epoch());
    }

    /**
     * Returns whether a view needs a new epoch even when its members stay, because a member or this
     * host has ended its epoch.
     */
    boolean needsNewEpoch(View view) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(view.shard());
                    return shard.rejectedEpoch.equals(view.epoch())
                            || shard.endedEpoch.compareTo(view.epoch()) >= 0;
                });
    }

    /**
     * Ends the effect of {@link #setRequiredReceivers} and {@link #markPrepared}, after a change
     * was made or abandoned.
     */
    void clearRequiredReceivers(ShardId id) {
        lock.run(
                () -> {
                    Shard shard = shard(id);
                    shard.requiredReceivers = HashSet.empty();
                    shard.preparedView = Option.none();
                });
    }

    /** Returns the hosts to which new records of a shard must be sent. */
    ReplicationTargets replicationTargets(ShardId id) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(id);
                    if (!isPrimary(shard)) {
                        return new ReplicationTargets.None();
                    }
                    return new ReplicationTargets.Primary(
                            shard.view,
                            shard.primarySince,
                            shard.view.members().tail(),
                            shard.requiredReceivers.toVector());
                });
    }

    private boolean isPrimary(Shard shard) {
        return shard.view != null
                && !shard.fenced
                && shard.endedEpoch.compareTo(shard.view.epoch()) < 0
                && shard.view.hasPrimary(ownStore)
                && shard.highestEpoch.compareTo(shard.view.epoch()) <= 0;
    }

    /** Decides on a reservation, and applies it when this host is the primary and it is granted. */
    Decision reserve(PeerRequest.Reserve request, long nowMillis) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(request.shard());
                    if (!isPrimary(shard)) {
                        return new Decision.Reply(new PeerReply.NotPrimary());
                    }
                    return ChargeRules.reserve(
                            shard.records,
                            shard.primarySince,
                            request,
                            newTurnRejection(),
                            nowMillis);
                });
    }

    /** Returns why new turns are rejected; none if they are accepted. */
    private Option<PeerReply.Overloaded> newTurnRejection() {
        if (memoryLimit.update(heldBytesOfShards())) {
            return Option.some(new PeerReply.Overloaded("histories fill the memory"));
        }
        return Option.when(
                diskLimit.isRejecting(), () -> new PeerReply.Overloaded("records fill the disk"));
    }

    /** Returns the tokens charged to the other turns of a program, for the log. */
    ShardRecords.ChargedTokens chargedToOtherTurns(PeerRequest.Reserve request, long nowMillis) {
        return lock.withLock(
                () -> ChargeRules.charged(shard(request.shard()).records, request, nowMillis));
    }

    /** Decides on a settlement, and applies it when this host is the primary. */
    Decision settle(PeerRequest.Settle request, long nowMillis) {
        StoredRecord charge =
                ChargeRules.settlement(
                        request.program(), request.call(), request.tokens(), nowMillis);
        return applyAsPrimary(request.shard(), Vector.of(charge), new PeerReply.Done());
    }

    /**
     * Decides on storing a history with the settlement that comes with it, and applies both when
     * this host is the primary.
     */
    Decision store(PeerRequest.Store request, long nowMillis) {
        FinishedTurn turn = request.turn();
        long keepUntilMillis = nowMillis + turn.retention().toMillis() + CLOCK_SKEW_MARGIN_MILLIS;
        StoredRecord history =
                new StoredRecord.Turn(
                        turn.call(),
                        History.of(turn.text()),
                        keepUntilMillis,
                        turn.parent(),
                        turn.customer());
        Option<StoredRecord> charge =
                turn.settlement()
                        .map(
                                s ->
                                        ChargeRules.settlement(
                                                s.program(), turn.call(), s.tokens(), nowMillis));
        return applyAsPrimary(
                request.shard(),
                Vector.of(history).appendAll(charge),
                charge.isDefined() ? new PeerReply.Settled() : new PeerReply.Done());
    }

    private Decision applyAsPrimary(ShardId id, Vector<StoredRecord> records, PeerReply reply) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(id);
                    if (!isPrimary(shard)) {
                        return new Decision.Reply(new PeerReply.NotPrimary());
                    }
                    records.forEach(shard.records::apply);
                    return new Decision.Replicate(records, reply, shard.primarySince);
                });
    }

    /**
     * Decides on reading a history. A history that this host holds and the call may read is valid
     * whether or not it is the primary. A turn is only certain to be absent while this host is the
     * primary, so the write quorum must first acknowledge an append without records.
     */
    Decision lookUp(PeerRequest.LookUp request) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(request.shard());
                    Option<StoredRecord.Turn> found =
                            shard.records.turn(request.call(), request.access());
                    if (found.isDefined()) {
                        return new Decision.Reply(new PeerReply.Found(found.get().history()));
                    }
                    if (!isPrimary(shard)) {
                        return new Decision.Reply(new PeerReply.NotPrimary());
                    }
                    return new Decision.Replicate(
                            Vector.empty(), new PeerReply.Absent(), shard.primarySince);
                });
    }

    /** Applies replicated records; returns none when they are accepted, or else the rejection. */
    Option<PeerReply> append(PeerRequest.Append request) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(request.shard());
                    if (!request.targetStore().equals(ownStore)) {
                        return Option.some(new PeerReply.Unavailable("another store"));
                    }
                    if (request.epoch().compareTo(shard.endedEpoch) <= 0) {
                        return Option.some(new PeerReply.Stale(shard.highestEpoch));
                    }
                    int comparison = request.epoch().compareTo(shard.highestEpoch);
                    if (comparison < 0) {
                        return Option.some(new PeerReply.Stale(shard.highestEpoch));
                    }
                    if (isMember(shard)) {
                        if (comparison == 0 && shard.fenced) {
                            return Option.some(new PeerReply.Stale(shard.highestEpoch));
                        }
                        shard.highestEpoch = request.epoch();
                    }
                    request.records().forEach(shard.records::apply);
                    return Option.none();
                });
    }

    /**
     * Returns whether this host is a member of the latest view that it knows. A host that is about
     * to join accepts appends of any epoch that has not ended on it, but none older than the latest
     * view that it knows: for the old primary, a host that has left still counts as a member.
     */
    private boolean isMember(Shard shard) {
        return shard.view != null && shard.view.contains(ownStore);
    }

    /** Applies transferred records under any epoch; returns none when they are accepted. */
    Option<PeerReply> copy(PeerRequest.Copy request) {
        if (!request.targetStore().equals(ownStore)) {
            return Option.some(new PeerReply.Unavailable("another store"));
        }
        merge(request.shard(), request.records());
        return Option.none();
    }

    /** Applies records that were collected from another member. */
    void merge(ShardId id, Seq<StoredRecord> records) {
        lock.run(() -> records.forEach(shard(id).records::apply));
    }

    /** Ends the epoch on this host and returns a batch of its records to a host that takes over. */
    PeerReply collect(PeerRequest.Collect request) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(request.shard());
                    if (!request.targetStore().equals(ownStore)) {
                        return new PeerReply.Unavailable("another store");
                    }
                    if (request.epoch().compareTo(shard.highestEpoch) < 0) {
                        return new PeerReply.Stale(shard.highestEpoch);
                    }
                    shard.endEpoch(request.epoch());
                    if (request.batch() == 0) {
                        shard.collectedBatches = RecordBatches.of(shard.records.all());
                    }
                    if (request.batch() >= shard.collectedBatches.size()) {
                        return new PeerReply.Unavailable("no such batch");
                    }
                    return new PeerReply.Collected(
                            shard.collectedBatches.get(request.batch()),
                            shard.collectedBatches.size());
                });
    }

    /**
     * Returns the records of a shard that a compaction of the log must keep: those of programs, and
     * the latest logged end of an epoch.
     */
    public Vector<StoredRecord> durableRecords(ShardId id) {
        return lock.withLock(
                () -> {
                    Shard shard = shard(id);
                    Vector<StoredRecord> records = shard.records.all();
                    return shard.loggedEndedEpoch.equals(NO_EPOCH)
                            ? records
                            : records.append(new StoredRecord.EpochEnd(shard.loggedEndedEpoch));
                });
    }

    /** Returns all records of the programs of a shard, without epoch ends. */
    Vector<StoredRecord> snapshot(ShardId id) {
        return lock.withLock(() -> shard(id).records.all());
    }

    /** Returns the shards that this host knows, with records or without. */
    public Vector<ShardId> shardIds() {
        return lock.withLock(() -> Vector.ofAll(shards.keySet()));
    }

    /** Returns the bytes of the histories of all shards in memory. */
    public long heldBytes() {
        return lock.withLock(this::heldBytesOfShards);
    }

    private long heldBytesOfShards() {
        return shards.values().stream().mapToLong(shard -> shard.records.heldBytes()).sum();
    }

    /** Returns whether the histories in memory leave no room for those of new turns. */
    boolean rejectsNewTurns() {
        return lock.withLock(() -> memoryLimit.update(heldBytesOfShards()));
    }

    /** Notes the bytes of the log on the disk; returns whether they leave no room for new turns. */
    boolean updateDiskUsage(long usedBytes) {
        return lock.withLock(() -> diskLimit.update(usedBytes));
    }

    /** Removes the records of all shards that have expired at a Unix time; returns their number. */
    public int removeExpired(long nowMillis) {
        return lock.withLock(
                () -> {
                    int removed =
                            shards.values().stream()
                                    .mapToInt(shard -> shard.records.removeExpired(nowMillis))
                                    .sum();
                    memoryLimit.update(heldBytesOfShards());
                    return removed;
                });
    }
}
