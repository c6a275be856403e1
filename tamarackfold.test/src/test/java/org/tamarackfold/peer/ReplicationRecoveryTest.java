package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.util.List;
import java.util.stream.LongStream;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Return of service after faults that hit all storage hosts at once. */
public final class ReplicationRecoveryTest {
    private ReplicationRecoveryTest() {}

    /** All hosts stop at a random moment of random faults and planned changes. */
    public static final class FinalFault {
        /**
         * Seeds in which confirmed turns became unknown (1334: a budget was exceeded), because a
         * member that had missed them counted as complete and became the primary. Seed 9197: a host
         * that had left a shard acknowledged a record to the old primary.
         */
        private static final long[] REGRESSION_SEEDS = {
            80, 535, 1_261, 1_334, 1_808, 2_508, 3_205, 9_197
        };

        /** Returns the seeds of the runs, and those that have failed before. */
        @DataProvider(name = "seeds")
        public Object[][] seeds() {
            return LongStream.concat(LongStream.range(0, 30), LongStream.of(REGRESSION_SEEDS))
                    .mapToObj(seed -> new Object[] {seed})
                    .toArray(Object[][]::new);
        }

        /**
         * Guards against shards that stay without a primary, and against lost turns and exceeded
         * budgets, when all hosts stop and one of them loses its disk while shards are moving.
         */
        @Test(dataProvider = "seeds")
        public void serviceReturnsAndNothingConfirmedIsLost(long seed) {
            assertEquals(new RecoveryRun(seed).violations(), List.of());
        }
    }

    /** The primary adopts a view that it has prepared before the layout write is answered. */
    public static final class UnansweredLayoutWrite {
        private static final ShardId SHARD = new ShardId(0);

        private static StorageHost host(int index) {
            return new StorageHost(
                    new HostId("storage-" + index),
                    new StoreId("store-" + index),
                    new Address("10.0.0." + index, 7000),
                    new AvailabilityZone("zone-" + index));
        }

        /**
         * Guards against a member that counts as complete although it has missed a record, which
         * was confirmed between the adoption of the view and the response to the layout write.
         */
        @Test
        public void memberThatMissesARecordAfterTheAdoptionIsIncomplete() {
            ShardTable shards = new ShardTable(host(1).store());
            View current = new View(SHARD, new Epoch(1), Vector.of(host(1), host(2), host(3)));
            shards.adopt(new Layout(Vector.of(current)));
            shards.reserve(
                    new PeerRequest.Reserve(
                            SHARD,
                            new ProgramId("program"),
                            new CallId("call"),
                            1,
                            2,
                            new StreamStart.Untracked()),
                    0);
            View next = current.withMembers(Vector.of(host(1), host(2), host(4)));
            shards.setRequiredReceivers(SHARD, next.members());
            shards.markPrepared(next);
            shards.adopt(new Layout(Vector.of(next)));
            assertTrue(shards.isComplete(SHARD, host(2)));
            shards.appendSent(next, host(2));
            shards.clearRequiredReceivers(SHARD);
            assertFalse(shards.isComplete(SHARD, host(2)));
        }
    }
}
