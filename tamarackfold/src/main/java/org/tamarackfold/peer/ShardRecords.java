package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ProgramId;

/**
 * The records of one shard in memory. Not thread-safe; guarded by the lock of {@link ShardTable}.
 */
final class ShardRecords {
    private final TurnRecords turns = new TurnRecords();
    private final Map<ProgramId, Map<CallId, StoredRecord.Charge>> charges = new HashMap<>();

    /**
     * Adds a record, or merges it with the one that exists for the same turn.
     *
     * @throws IllegalArgumentException when the record is the end of an epoch
     */
    void apply(StoredRecord record) {
        switch (record) {
            case StoredRecord.Turn turn -> turns.apply(turn);
            case StoredRecord.Charge charge ->
                    charges.computeIfAbsent(charge.program(), unused -> new HashMap<>())
                            .merge(charge.call(), charge, ShardRecords::mergeCharges);
            case StoredRecord.EpochEnd _ ->
                    throw new IllegalArgumentException(
                            "The end of an epoch cannot be applied to the records of programs");
        }
    }

    /**
     * Merges two charges for the same turn, whatever the order in which they arrive: a settled
     * charge replaces a reservation, and otherwise the larger one is valid. The origin of the
     * stream is merged by itself, because a settlement may lack it.
     */
    private static StoredRecord.Charge mergeCharges(
            StoredRecord.Charge existing, StoredRecord.Charge added) {
        Option<StreamOrigin> origin =
                Vector.of(existing, added)
                        .flatMap(StoredRecord.Charge::origin)
                        .reduceOption(StreamOrigin::latest);
        return validCharge(existing, added).withOrigin(origin);
    }

    private static StoredRecord.Charge validCharge(
            StoredRecord.Charge existing, StoredRecord.Charge added) {
        if (existing.settled() != added.settled()) {
            return existing.settled() ? existing : added;
        }
        return added.tokens() > existing.tokens() ? added : existing;
    }

    /** Returns a turn if a call with the given access may continue it. */
    Option<StoredRecord.Turn> turn(CallId call, TurnAccess access) {
        return switch (access) {
            case TurnAccess.Unrestricted() -> turns.findAny(call);
            case TurnAccess.Restricted(ProgramId program, Option<CustomerName> customer) ->
                    customer.flatMap(owner -> turns.find(new StoredRecord.TurnKey(call, customer)))
                            .orElse(() -> turnWithoutCustomer(call, program));
        };
    }

    /** The charge of a turn is kept in the same shard under the program that has created it. */
    private Option<StoredRecord.Turn> turnWithoutCustomer(CallId call, ProgramId program) {
        return turns.findWithoutCustomer(call).filter(turn -> charge(program, call).isDefined());
    }

    Option<StoredRecord.Charge> charge(ProgramId program, CallId call) {
        return Option.of(charges.get(program)).flatMap(calls -> Option.of(calls.get(call)));
    }

    /** Returns where the stream of a turn began; none if it is not recorded. */
    Option<StreamOrigin> origin(ProgramId program, CallId call) {
        return charge(program, call).flatMap(StoredRecord.Charge::origin);
    }

    /**
     * The tokens charged to a program.
     *
     * @param settled tokens of turns whose use is known
     * @param outstanding tokens that turns have reserved and not settled
     */
    record ChargedTokens(long settled, long outstanding) {
        private ChargedTokens plus(StoredRecord.Charge charge, boolean isFinal) {
            return isFinal
                    ? new ChargedTokens(settled + charge.tokens(), outstanding)
                    : new ChargedTokens(settled, outstanding + charge.tokens());
        }
    }

    /**
     * Returns the tokens that a program is charged for all turns except the given one.
     *
     * @param lostBeforeMillis reservations that are kept until before this time count as settled,
     *     because nobody settles them any more
     */
    ChargedTokens chargedToOtherTurns(ProgramId program, CallId call, long lostBeforeMillis) {
        ChargedTokens charged = new ChargedTokens(0, 0);
        for (StoredRecord.Charge charge : charges.getOrDefault(program, Map.of()).values()) {
            if (!charge.call().equals(call)) {
                boolean isFinal = charge.settled() || charge.keepUntilMillis() < lostBeforeMillis;
                charged = charged.plus(charge, isFinal);
            }
        }
        return charged;
    }

    /** Returns all records, those of parent turns before the turns that continue them. */
    Vector<StoredRecord> all() {
        Vector<StoredRecord> records = turns.all();
        for (Map<CallId, StoredRecord.Charge> calls : charges.values()) {
            records = records.appendAll(calls.values());
        }
        return records;
    }

    /**
     * Removes expired records and returns their number. The charges of a program are removed only
     * when all of them have expired.
     */
    int removeExpired(long nowMillis) {
        int before = size();
        turns.removeExpired(nowMillis);
        charges.values()
                .removeIf(
                        calls ->
                                calls.values().stream()
                                        .allMatch(c -> c.keepUntilMillis() < nowMillis));
        return before - size();
    }

    /** Returns the bytes of histories in memory. */
    long heldBytes() {
        return turns.heldBytes();
    }

    int size() {
        return turns.size() + charges.values().stream().mapToInt(Map::size).sum();
    }
}
