package org.tamarackfold.peer;

import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ProgramId;

/** A durable record. Applying it twice, or in another order, gives the same state. */
public sealed interface StoredRecord {
    /** Returns the time until which the record is kept, in Unix milliseconds. */
    long keepUntilMillis();

    /** Returns a value that is equal for records that need not be copied a second time. */
    default Object identity() {
        return switch (this) {
            case Turn turn -> turn.call();
            case Charge charge -> charge;
            case EpochEnd end -> end;
        };
    }

    /**
     * The history up to and including a turn.
     *
     * @param call the turn
     * @param text the inputs and outputs of the turn and all turns before it
     * @param keepUntilMillis the time until which it is kept, in Unix milliseconds
     */
    record Turn(CallId call, byte[] text, long keepUntilMillis) implements StoredRecord {}

    /**
     * What one turn counts against the budget of its program.
     *
     * @param program the program
     * @param call the turn
     * @param tokens the tokens
     * @param settled whether the number is final; a reservation is not
     * @param keepUntilMillis the time until which it is kept, in Unix milliseconds
     */
    record Charge(
            ProgramId program, CallId call, long tokens, boolean settled, long keepUntilMillis)
            implements StoredRecord {}

    /**
     * The end of an epoch on this host, for a change of the view. A host that restarts before the
     * change is in force must not take part in the epoch again, because the change would miss what
     * is confirmed then.
     *
     * @param epoch the epoch
     */
    record EpochEnd(Epoch epoch) implements StoredRecord {
        @Override
        public long keepUntilMillis() {
            return Long.MAX_VALUE;
        }
    }
}
