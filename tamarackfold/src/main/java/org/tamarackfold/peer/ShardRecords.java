package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/** The records of one shard in memory. Not thread-safe; guarded by the lock of its table. */
final class ShardRecords {
    private final Map<CallId, StoredRecord.Turn> turns = new HashMap<>();
    private final Map<ProgramId, Map<CallId, StoredRecord.Charge>> charges = new HashMap<>();

    void apply(StoredRecord record) {
        switch (record) {
            case StoredRecord.Turn turn -> turns.merge(turn.call(), turn, ShardRecords::later);
            case StoredRecord.Charge charge ->
                    charges.computeIfAbsent(charge.program(), unused -> new HashMap<>())
                            .merge(charge.call(), charge, ShardRecords::decided);
            case StoredRecord.EpochEnd _ ->
                    throw new IllegalArgumentException("An epoch is no record of a program");
        }
    }

    private static StoredRecord.Turn later(StoredRecord.Turn present, StoredRecord.Turn added) {
        return added.keepUntilMillis() > present.keepUntilMillis() ? added : present;
    }

    /** A settled charge replaces a reservation, never the other way round. */
    private static StoredRecord.Charge decided(
            StoredRecord.Charge present, StoredRecord.Charge added) {
        if (present.settled() != added.settled()) {
            return present.settled() ? present : added;
        }
        return added.tokens() > present.tokens() ? added : present;
    }

    Option<byte[]> history(CallId turn) {
        return Option.of(turns.get(turn)).map(StoredRecord.Turn::text);
    }

    Option<StoredRecord.Charge> charge(ProgramId program, CallId call) {
        return Option.of(charges.get(program)).flatMap(calls -> Option.of(calls.get(call)));
    }

    /** Returns what a program has been charged for all turns but one, in tokens. */
    long chargedWithout(ProgramId program, CallId call) {
        Map<CallId, StoredRecord.Charge> calls = charges.get(program);
        if (calls == null) {
            return 0;
        }
        return calls.values().stream()
                .filter(charge -> !charge.call().equals(call))
                .mapToLong(StoredRecord.Charge::tokens)
                .sum();
    }

    Vector<StoredRecord> all() {
        Vector<StoredRecord> records = Vector.ofAll(turns.values());
        for (Map<CallId, StoredRecord.Charge> calls : charges.values()) {
            records = records.appendAll(calls.values());
        }
        return records;
    }

    /** Removes records whose time has passed. The charges of a program go together. */
    int removeExpired(long nowMillis) {
        int before = size();
        turns.values().removeIf(turn -> turn.keepUntilMillis() < nowMillis);
        charges.values()
                .removeIf(
                        calls ->
                                calls.values().stream()
                                        .allMatch(c -> c.keepUntilMillis() < nowMillis));
        return before - size();
    }

    int size() {
        return turns.size() + charges.values().stream().mapToInt(Map::size).sum();
    }
}
