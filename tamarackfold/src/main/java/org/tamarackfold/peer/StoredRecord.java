package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Comparator;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ProgramId;

/**
 * A record of the durable log. Records are idempotent and commutative: applying them repeatedly or
 * in another order gives the same state.
 */
public sealed interface StoredRecord {
    /** Returns the time after which the record may be removed, in Unix milliseconds. */
    long keepUntilMillis();

    /** Returns a key for equality; of records with equal keys, a host needs only one. */
    default Object identity() {
        return switch (this) {
            case Turn turn -> turn.key();
            case Charge charge -> charge;
            case EpochEnd end -> end;
        };
    }

    /**
     * Identifies a turn. Two customers may use the same call id, and a record that lacks the
     * customer does not stand for one that has it.
     *
     * @param call the turn
     * @param customer the customer to whom the turn belongs
     */
    record TurnKey(CallId call, Option<CustomerName> customer) {}

    /**
     * The history up to and including a turn.
     *
     * @param call the turn
     * @param history the inputs and outputs of the turn and all turns before it
     * @param keepUntilMillis the time after which it may be removed, in Unix milliseconds
     * @param parent the turn that this one continues; none for the first of a conversation and in
     *     records of earlier versions
     * @param customer the customer to whom the turn belongs; none when the release had no
     *     customers, for an anonymous call, and in records of earlier versions
     */
    record Turn(
            CallId call,
            History history,
            long keepUntilMillis,
            Option<CallId> parent,
            Option<CustomerName> customer)
            implements StoredRecord {
        private static final Comparator<Turn> VALIDITY =
                Comparator.comparingLong(Turn::keepUntilMillis)
                        .thenComparingInt(turn -> turn.history.length());

        /** Creates the record of a turn that names neither parent nor customer. */
        public Turn(CallId call, byte[] text, long keepUntilMillis) {
            this(call, History.of(text), keepUntilMillis, Option.none(), Option.none());
        }

        /** Returns the key of the turn. */
        TurnKey key() {
            return new TurnKey(call, customer);
        }

        /** Returns this turn as one of the given customer. */
        Turn ownedBy(Option<CustomerName> owner) {
            return new Turn(call, history, keepUntilMillis, parent, owner);
        }

        /** Returns this turn, with a history that shares the given one if that is possible. */
        public Turn sharing(History prefix) {
            return new Turn(call, history.sharing(prefix), keepUntilMillis, parent, customer);
        }

        /**
         * Merges two records of the same turn, whatever the order in which they arrive: the one
         * that expires later is valid, and of equal histories the existing one remains, because
         * other turns may share it. Hosts of earlier versions drop the optional fields.
         */
        Turn mergedWith(Turn added) {
            boolean replaced = VALIDITY.compare(added, this) > 0 && !added.history.equals(history);
            return new Turn(
                    call,
                    replaced ? added.history : history,
                    Math.max(keepUntilMillis, added.keepUntilMillis),
                    smallest(parent, added.parent),
                    customer);
        }

        private static <T extends Comparable<T>> Option<T> smallest(
                Option<T> first, Option<T> second) {
            return Vector.of(first, second).flatMap(value -> value).min();
        }
    }

    /**
     * The number of tokens that one turn is charged to the budget of its program.
     *
     * @param program the program
     * @param call the turn
     * @param tokens the number of tokens, reserved or used
     * @param settled whether the number is final; false for a reservation
     * @param keepUntilMillis the time after which it may be removed, in Unix milliseconds
     * @param origin where the event stream of the turn began; none if it cannot be resumed
     */
    record Charge(
            ProgramId program,
            CallId call,
            long tokens,
            boolean settled,
            long keepUntilMillis,
            Option<StreamOrigin> origin)
            implements StoredRecord {
        /** Returns a copy of this charge with the given origin. */
        Charge withOrigin(Option<StreamOrigin> newOrigin) {
            return new Charge(program, call, tokens, settled, keepUntilMillis, newOrigin);
        }
    }

    /**
     * The end of an epoch on this host, logged before a change of the view. A host that restarts
     * before it has adopted the new view must not take part in the old epoch again, because the new
     * view would lack the records that are confirmed then.
     *
     * @param epoch the epoch that has ended
     */
    record EpochEnd(Epoch epoch) implements StoredRecord {
        @Override
        public long keepUntilMillis() {
            return Long.MAX_VALUE;
        }
    }
}
