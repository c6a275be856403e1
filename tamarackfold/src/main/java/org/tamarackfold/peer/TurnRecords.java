package org.tamarackfold.peer;

import io.vavr.collection.List;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;

/**
 * The turns of one shard, which share the bytes of their parents. A turn whose parent is not there
 * keeps its whole history until the parent arrives. Callers choose the ids of their calls, so the
 * turns of two customers under one id are kept apart. Not thread-safe; guarded by the lock of
 * {@link ShardTable}.
 */
final class TurnRecords {
    /** Orders parents before the turns that continue them. */
    private static final Comparator<StoredRecord.Turn> PARENTS_FIRST =
            Comparator.comparingInt(turn -> turn.history().length());

    /** The turns by call, with one element for each customer that has used the id. */
    private final Map<CallId, List<StoredRecord.Turn>> turns = new HashMap<>();

    /** The turns by the parent that they name, whether the parent is there or not. */
    private final Map<CallId, Set<StoredRecord.TurnKey>> continuations = new HashMap<>();

    private final HeldHistories held = new HeldHistories();

    /** Adds a turn, or merges it with the record that exists for it. */
    void apply(StoredRecord.Turn added) {
        StoredRecord.Turn owned = withKnownCustomer(added);
        Option<StoredRecord.Turn> existing = find(owned.key());
        if (put(existing.map(turn -> turn.mergedWith(owned)).getOrElse(owned))) {
            shareWithContinuations(owned.call());
        }
    }

    /**
     * Hosts of earlier builds copy turns without the customer. Such a copy, which has the same
     * history, is merged with the turn of the customer: it must not open the turn to others.
     */
    private StoredRecord.Turn withKnownCustomer(StoredRecord.Turn added) {
        List<StoredRecord.Turn> same =
                turnsOf(added.call()).filter(turn -> turn.history().equals(added.history()));
        if (added.customer().isEmpty()) {
            Option<CustomerName> owner = same.flatMap(StoredRecord.Turn::customer).min();
            return added.ownedBy(owner);
        }
        Option<StoredRecord.Turn> copy = same.find(turn -> turn.customer().isEmpty());
        copy.forEach(this::remove);
        return copy.map(turn -> turn.ownedBy(added.customer()).mergedWith(added)).getOrElse(added);
    }

    /** Stores a turn in place of the existing one; returns whether its history is a new object. */
    private boolean put(StoredRecord.Turn turn) {
        StoredRecord.Turn shared =
                findParent(turn).map(p -> turn.sharing(p.history())).getOrElse(turn);
        Option<StoredRecord.Turn> previous = find(turn.key());
        held.retain(shared.history());
        previous.forEach(this::remove);
        turns.merge(turn.call(), List.of(shared), (present, added) -> present.prependAll(added));
        for (CallId parent : shared.parent()) {
            continuations.computeIfAbsent(parent, unused -> new HashSet<>()).add(shared.key());
        }
        return previous.forAll(replaced -> replaced.history() != shared.history());
    }

    /** Of the parents with the same id, that of the same customer is the likely one. */
    private Option<StoredRecord.Turn> findParent(StoredRecord.Turn turn) {
        return turn.parent()
                .flatMap(
                        parent ->
                                find(new StoredRecord.TurnKey(parent, turn.customer()))
                                        .orElse(() -> findAny(parent)));
    }

    /**
     * Lets the turns after a new or changed one share its history, and those after them in turn: a
     * host may receive turns before their parents.
     */
    private void shareWithContinuations(CallId first) {
        Deque<CallId> changed = new ArrayDeque<>();
        changed.add(first);
        while (!changed.isEmpty()) {
            Set<StoredRecord.TurnKey> following =
                    continuations.getOrDefault(changed.poll(), Set.of());
            for (StoredRecord.TurnKey key : Set.copyOf(following)) {
                if (put(find(key).get())) {
                    changed.add(key.call());
                }
            }
        }
    }

    private void remove(StoredRecord.Turn turn) {
        turns.computeIfPresent(
                turn.call(),
                (unused, present) -> {
                    List<StoredRecord.Turn> remaining = present.remove(turn);
                    return remaining.isEmpty() ? null : remaining;
                });
        held.release(turn.history());
        for (CallId parent : turn.parent()) {
            continuations.computeIfPresent(
                    parent,
                    (unused, keys) -> {
                        keys.remove(turn.key());
                        return keys.isEmpty() ? null : keys;
                    });
        }
    }

    /** Returns the turn of a customer, or of none. */
    Option<StoredRecord.Turn> find(StoredRecord.TurnKey key) {
        return turnsOf(key.call()).find(turn -> turn.customer().equals(key.customer()));
    }

    /** Returns the turn that belongs to no customer. */
    Option<StoredRecord.Turn> findWithoutCustomer(CallId call) {
        return find(new StoredRecord.TurnKey(call, Option.none()));
    }

    /** Returns a turn of any customer; one without a customer precedes the others. */
    Option<StoredRecord.Turn> findAny(CallId call) {
        return turnsOf(call).minBy(turn -> turn.customer().map(CustomerName::value).getOrElse(""));
    }

    private List<StoredRecord.Turn> turnsOf(CallId call) {
        return turns.getOrDefault(call, List.empty());
    }

    /** Returns all turns, parents first, so that a host that reads them shares at once. */
    Vector<StoredRecord> all() {
        return Vector.<StoredRecord>ofAll(
                turns.values().stream().flatMap(List::toJavaStream).sorted(PARENTS_FIRST).toList());
    }

    /** Removes the turns that have expired; those that continue them keep the shared bytes. */
    void removeExpired(long nowMillis) {
        turns.values().stream()
                .flatMap(List::toJavaStream)
                .filter(turn -> turn.keepUntilMillis() < nowMillis)
                .toList()
                .forEach(this::remove);
    }

    int size() {
        return turns.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the bytes of histories in memory. */
    long heldBytes() {
        return held.bytes();
    }
}
