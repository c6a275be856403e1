package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Short runs with one fault at every step between a request and its reply: every host is stopped at
 * every millisecond, and every message and reply is lost once.
 */
public final class ReplicationStepsTest {
    /** A turn and its reservation are answered in less than this. */
    private static final int RUN_MILLIS = 24;

    /** Messages and replies of a run without a fault, and those of the first repetitions. */
    private static final int MESSAGES = 40;

    /** Messages and replies of one turn that is stored, and those of its repetition. */
    private static final int TURN_MESSAGES = 12;

    private static final long SEED = 300;
    private static final ProgramId PROGRAM = new ProgramId("p");

    private ReplicationStepsTest() {}

    private static Promises begin(StorageCluster cluster) {
        Promises promises = new Promises(cluster);
        promises.storeTurn();
        for (int i = 0; i < 5; i++) {
            promises.reserve(PROGRAM);
        }
        return promises;
    }

    /** Compares what callers have been told with what the hosts answer once all is well again. */
    private static List<String> broken(StorageCluster cluster, Promises promises) {
        cluster.run(4_000);
        promises.storeTurn();
        promises.reserve(PROGRAM);
        cluster.run(3_000);
        List<String> broken = new ArrayList<>(promises.lostTurns());
        long granted = promises.granted.getOrDefault(PROGRAM, 0L);
        if (granted > Promises.BUDGET) {
            broken.add("granted " + granted);
        }
        if (promises.storedTurns.isEmpty()) {
            broken.add("no turn is stored after the fault");
        }
        return broken;
    }

    /** One host stops. */
    public static final class Crashes {
        /** Returns the hosts and how they stop. */
        @DataProvider(name = "crashes")
        public Object[][] crashes() {
            return IntStream.range(0, 12)
                    .mapToObj(i -> new Object[] {i / 3, i % 3})
                    .toArray(Object[][]::new);
        }

        /** Guards against lost turns and exceeded budgets when a host stops at any step. */
        @Test(dataProvider = "crashes")
        public void promisesHoldAtEveryStep(int victim, int kind) {
            for (int step = 0; step < RUN_MILLIS; step++) {
                StorageCluster cluster = StorageCluster.formed(4, 1, SEED);
                assertEquals(
                        crash(cluster, cluster.hosts.get(victim), kind, step),
                        List.of(),
                        "step " + step);
            }
        }

        /** Guards against steps that cannot fail: with one copy, some lose a stored turn. */
        @Test
        public void aSingleCopyIsDetected() {
            int failures = 0;
            for (int victim = 0; victim < 4; victim++) {
                StorageCluster cluster = StorageCluster.formed(4, 0, SEED);
                failures +=
                        crash(cluster, cluster.hosts.get(victim), 2, RUN_MILLIS).isEmpty() ? 0 : 1;
            }
            assertTrue(failures > 0);
        }

        private static List<String> crash(
                StorageCluster cluster, StorageCluster.StorageHost victim, int kind, int step) {
            Promises promises = begin(cluster);
            cluster.run(step);
            switch (kind) {
                case 0 -> victim.kill();
                case 1 -> victim.losePower();
                default -> victim.wipe();
            }
            cluster.run(900);
            victim.start();
            return broken(cluster, promises);
        }
    }

    /** One message is lost. */
    public static final class LostMessages {
        /** Guards against lost turns and exceeded budgets when any message or reply is lost. */
        @Test
        public void promisesHoldWithoutAnyOneMessage() {
            for (int message = 0; message < MESSAGES; message++) {
                StorageCluster cluster = StorageCluster.formed(4, 1, SEED);
                cluster.network.loseMessages(message);
                assertEquals(broken(cluster, begin(cluster)), List.of(), "message " + message);
            }
        }

        /** Guards against a message lost while the host that answers it is taken over. */
        @Test
        public void promisesHoldWithoutAnyOneMessageOfATakeOver() {
            for (int message = 0; message < MESSAGES * 3; message++) {
                StorageCluster cluster = StorageCluster.formed(4, 1, SEED);
                Promises promises = begin(cluster);
                cluster.run(RUN_MILLIS);
                StorageCluster.StorageHost primary =
                        cluster.hostOf(
                                cluster.layout().view(cluster.layout().shardOf(PROGRAM)).primary());
                primary.wipe();
                cluster.network.loseMessages(message);
                cluster.run(900);
                primary.start();
                assertEquals(broken(cluster, promises), List.of(), "message " + message);
            }
        }

        /**
         * Guards against a record that too few disks hold when it is confirmed, or that a take-over
         * misses: any two messages are lost, then the disk of the primary.
         */
        @Test
        public void promisesHoldWithoutAnyTwoMessagesAndThePrimary() {
            for (int first = 0; first < TURN_MESSAGES; first++) {
                for (int second = first + 1; second < TURN_MESSAGES; second++) {
                    StorageCluster cluster = StorageCluster.formed(4, 1, SEED);
                    cluster.network.loseMessages(first, second);
                    Promises promises = new Promises(cluster);
                    promises.storeTurn();
                    cluster.run(RUN_MILLIS);
                    ProgramId program = Promises.programOf(new CallId("turn-0"));
                    Layout layout = cluster.layout();
                    StorageCluster.StorageHost primary =
                            cluster.hostOf(layout.view(layout.shardOf(program)).primary());
                    primary.wipe();
                    cluster.run(900);
                    primary.start();
                    assertEquals(
                            broken(cluster, promises),
                            List.of(),
                            "messages " + first + " and " + second);
                }
            }
        }
    }
}
