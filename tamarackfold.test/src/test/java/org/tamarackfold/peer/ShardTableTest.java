package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.testng.annotations.Test;

/** The records that a storage host keeps in memory. */
public final class ShardTableTest {
    private ShardTableTest() {}

    /** Records read from the log at a start. */
    public static final class Restoration {
        private static final ShardId SHARD = new ShardId(1);
        private static final long NOW_MILLIS = 1_000;

        private final ShardTable shards = new ShardTable(new StoreId("store"));

        private static StoredRecord turn(String call, long keepUntilMillis) {
            return new StoredRecord.Turn(new CallId(call), new byte[10], keepUntilMillis);
        }

        /** Guards against a start that fills the heap with turns that nobody can ask for. */
        @Test
        public void expiredTurnsAreLeftOut() {
            StoredRecord kept = turn("kept", NOW_MILLIS);
            StoredRecord.Charge charge =
                    new StoredRecord.Charge(
                            new ProgramId("p"), new CallId("kept"), 5, true, 0, Option.none());
            shards.restore(SHARD, turn("expired", NOW_MILLIS - 1), NOW_MILLIS);
            shards.restore(SHARD, kept, NOW_MILLIS);
            shards.restore(SHARD, charge, NOW_MILLIS);
            assertEquals(shards.snapshot(SHARD), Vector.of(kept, charge));
        }
    }
}
