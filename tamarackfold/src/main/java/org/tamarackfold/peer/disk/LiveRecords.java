package org.tamarackfold.peer.disk;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.peer.History;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.thrift.RecordCodec;

/** The records that a compaction must keep and has not written yet. Not thread-safe. */
final class LiveRecords {
    /** Bytes of the frame header, and those by which the length of a history may be longer. */
    private static final int OVERHEAD_BYTES = 12;

    /** Rough size of a record without its history: a few ids and numbers. */
    private static final int ROUGH_BYTES = 100;

    /**
     * Identifies the records that may be merged into one. Turns of several customers have the same
     * key, as a copy without the customer is merged with the turn of one of them.
     */
    sealed interface Key {
        /**
         * Returns the key of a record.
         *
         * @param logged the record with its shard
         */
        static Key of(RecordCodec.LoggedRecord logged) {
            return switch (logged.record()) {
                case StoredRecord.Turn turn -> new TurnKey(logged.shard(), turn.call());
                case StoredRecord.Charge charge ->
                        new ChargeKey(logged.shard(), charge.program(), charge.call());
                case StoredRecord.EpochEnd _ -> new EpochEndKey(logged.shard());
            };
        }
    }

    private record TurnKey(ShardId shard, CallId call) implements Key {}

    private record ChargeKey(ShardId shard, ProgramId program, CallId call) implements Key {}

    private record EpochEndKey(ShardId shard) implements Key {}

    private final Map<Key, List<RecordCodec.LoggedRecord>> records = new HashMap<>();

    LiveRecords(Seq<RecordCodec.LoggedRecord> durableRecords) {
        durableRecords.forEach(
                logged -> records.merge(Key.of(logged), List.of(logged), List::appendAll));
    }

    /** Returns whether there is a record with the given key. */
    boolean contains(Key key) {
        return records.containsKey(key);
    }

    /** Returns the records with the given keys. */
    Vector<RecordCodec.LoggedRecord> withKeys(Collection<Key> keys) {
        return Vector.ofAll(keys).flatMap(key -> records.getOrDefault(key, List.empty()));
    }

    /** Notes that a record is durable in a segment that remains; other copies are not needed. */
    void removeStored(RecordCodec.LoggedRecord stored) {
        records.computeIfPresent(
                Key.of(stored),
                (unused, live) -> {
                    List<RecordCodec.LoggedRecord> others = live.remove(stored);
                    return others.isEmpty() ? null : others;
                });
    }

    /** Notes that a compaction has written records durably. */
    void removeWritten(Seq<RecordCodec.LoggedRecord> written) {
        written.map(Key::of).forEach(records::remove);
    }

    /** Returns the bytes that records need at most in a segment, without assembling histories. */
    static long bytes(Seq<RecordCodec.LoggedRecord> records) {
        return records.map(LiveRecords::bytes).sum().longValue();
    }

    /** Returns roughly the bytes of records, without encoding them; tells how much has changed. */
    static long roughBytes(Seq<RecordCodec.LoggedRecord> records) {
        return records.map(LiveRecords::roughBytes).sum().longValue();
    }

    private static long roughBytes(RecordCodec.LoggedRecord logged) {
        return logged.record() instanceof StoredRecord.Turn turn
                ? ROUGH_BYTES + turn.history().length()
                : ROUGH_BYTES;
    }

    private static long bytes(RecordCodec.LoggedRecord logged) {
        if (logged.record() instanceof StoredRecord.Turn turn) {
            StoredRecord withoutHistory =
                    new StoredRecord.Turn(
                            turn.call(),
                            History.of(new byte[0]),
                            turn.keepUntilMillis(),
                            turn.parent(),
                            turn.customer());
            return encodedBytes(logged.shard(), withoutHistory) + turn.history().length();
        }
        return encodedBytes(logged.shard(), logged.record());
    }

    private static long encodedBytes(ShardId shard, StoredRecord record) {
        return RecordCodec.encode(new RecordCodec.LoggedRecord(shard, record)).length
                + OVERHEAD_BYTES;
    }
}
