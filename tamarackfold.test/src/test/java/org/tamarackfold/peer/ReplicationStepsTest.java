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
 * Replication of program state with one fault at each step between a request and its reply. In
 * separate runs, each host is crashed at each millisecond, and each message or reply is lost.
 */
public final class ReplicationStepsTest {
    /** Virtual time within which the turn and the reservations of a workload are answered. */
    private static final int RUN_MILLIS = 24;

    /** Upper bound of the messages and replies of a workload, including the first retries. */
    private static final int RUN_MESSAGES = 40;

    /** Upper bound of the messages and replies to store one turn, including one retry. */
    private static final int TURN_MESSAGES = 12;

    private static final long SEED = 300;
    private static final ProgramId PROGRAM = new ProgramId("p");

    private ReplicationStepsTest() {}

    private static Workload startWorkload(StorageCluster cluster) {
        Workload workload = new Workload(cluster);
        workload.storeTurn();
        for (int i = 0; i < 5; i++) {
            workload.reserve(PROGRAM);
        }
        return workload;
    }

    /**
     * Waits until the cluster has recovered, stores another turn, and returns the violations: lost
     * turns, an exceeded budget, or no stored turn at all.
     */
    private static List<String> violations(StorageCluster cluster, Workload workload) {
        cluster.advance(4_000);
        workload.storeTurn();
        workload.reserve(PROGRAM);
        cluster.advance(3_000);
        List<String> violations = new ArrayList<>(workload.lostTurns());
        long grantedTokens = workload.grantedTokens.getOrDefault(PROGRAM, 0L);
        if (grantedTokens > Workload.BUDGET) {
            violations.add("granted more tokens than the budget: " + grantedTokens);
        }
        if (workload.confirmedTurns.isEmpty()) {
            violations.add("no turn was stored");
        }
        return violations;
    }

    /** One host crashes. */
    public static final class HostCrashes {
        /** Returns the combinations of a host and a kind of crash. */
        @DataProvider(name = "crashes")
        public Object[][] crashes() {
            return IntStream.range(0, 12)
                    .mapToObj(i -> new Object[] {i / 3, i % 3})
                    .toArray(Object[][]::new);
        }

        /** Guards against lost turns and exceeded budgets when a host crashes at any step. */
        @Test(dataProvider = "crashes")
        public void confirmedStateSurvivesACrashAtAnyStep(int hostIndex, int faultKind) {
            for (int stepMillis = 0; stepMillis < RUN_MILLIS; stepMillis++) {
                StorageCluster cluster = StorageCluster.withLayout(4, 1, SEED);
                assertEquals(
                        violationsAfterCrash(
                                cluster, cluster.hosts.get(hostIndex), faultKind, stepMillis),
                        List.of(),
                        "crash after ms: " + stepMillis);
            }
        }

        /**
         * Guards against checks that cannot fail: with a single copy, a lost disk must lose turns.
         */
        @Test
        public void lossWithoutReplicationIsDetected() {
            int failures = 0;
            for (int hostIndex = 0; hostIndex < 4; hostIndex++) {
                StorageCluster cluster = StorageCluster.withLayout(4, 0, SEED);
                failures +=
                        violationsAfterCrash(cluster, cluster.hosts.get(hostIndex), 2, RUN_MILLIS)
                                        .isEmpty()
                                ? 0
                                : 1;
            }
            assertTrue(failures > 0);
        }

        private static List<String> violationsAfterCrash(
                StorageCluster cluster,
                StorageCluster.SimulatedHost crashedHost,
                int faultKind,
                int stepMillis) {
            Workload workload = startWorkload(cluster);
            cluster.advance(stepMillis);
            switch (faultKind) {
                case 0 -> crashedHost.kill();
                case 1 -> crashedHost.losePower();
                default -> crashedHost.loseDisk();
            }
            cluster.advance(900);
            crashedHost.start();
            return violations(cluster, workload);
        }
    }

    /** One message is lost. */
    public static final class LostMessages {
        /** Guards against lost turns and exceeded budgets when any message or reply is lost. */
        @Test
        public void confirmedStateSurvivesTheLossOfAnyMessage() {
            for (int lostMessage = 0; lostMessage < RUN_MESSAGES; lostMessage++) {
                StorageCluster cluster = StorageCluster.withLayout(4, 1, SEED);
                cluster.network.loseMessages(lostMessage);
                assertEquals(
                        violations(cluster, startWorkload(cluster)),
                        List.of(),
                        "message " + lostMessage);
            }
        }

        /** Guards against lost turns and exceeded budgets when a message of a takeover is lost. */
        @Test
        public void confirmedStateSurvivesTheLossOfAnyMessageOfATakeover() {
            for (int lostMessage = 0; lostMessage < RUN_MESSAGES * 3; lostMessage++) {
                StorageCluster cluster = StorageCluster.withLayout(4, 1, SEED);
                Workload workload = startWorkload(cluster);
                cluster.advance(RUN_MILLIS);
                StorageCluster.SimulatedHost primary =
                        cluster.hostOf(
                                cluster.layout().view(cluster.layout().shardOf(PROGRAM)).primary());
                primary.loseDisk();
                cluster.network.loseMessages(lostMessage);
                cluster.advance(900);
                primary.start();
                assertEquals(violations(cluster, workload), List.of(), "message " + lostMessage);
            }
        }

        /**
         * Guards against a record that is confirmed before enough disks hold it, or that a takeover
         * misses: two messages are lost, and then the disk of the primary.
         */
        @Test
        public void confirmedTurnSurvivesTheLossOfTwoMessagesAndThePrimary() {
            for (int first = 0; first < TURN_MESSAGES; first++) {
                for (int second = first + 1; second < TURN_MESSAGES; second++) {
                    StorageCluster cluster = StorageCluster.withLayout(4, 1, SEED);
                    cluster.network.loseMessages(first, second);
                    Workload workload = new Workload(cluster);
                    workload.storeTurn();
                    cluster.advance(RUN_MILLIS);
                    ProgramId program = Workload.programOf(new CallId("turn-0"));
                    Layout layout = cluster.layout();
                    StorageCluster.SimulatedHost primary =
                            cluster.hostOf(layout.view(layout.shardOf(program)).primary());
                    primary.loseDisk();
                    cluster.advance(900);
                    primary.start();
                    assertEquals(
                            violations(cluster, workload),
                            List.of(),
                            "messages " + first + " and " + second);
                }
            }
        }
    }
}
