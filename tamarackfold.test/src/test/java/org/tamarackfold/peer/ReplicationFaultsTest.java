package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.ProgramId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replication of program state under random faults. */
public final class ReplicationFaultsTest {
    private ReplicationFaultsTest() {}

    /** Seeded random faults that the cluster must tolerate. */
    public static final class RandomFaults {
        private static final int STEPS = 60;

        /**
         * Seeds outside the range that revealed a fault. Seed 5109: a primary confirmed a
         * reservation although another host had been the primary since the decision.
         */
        private static final long[] REGRESSION_SEEDS = {5_109};

        private static void assertStateIntact(Workload workload) {
            workload.grantedTokens.forEach(
                    (program, tokens) ->
                            assertTrue(tokens <= Workload.BUDGET, program + ": " + tokens));
            assertEquals(workload.lostTurns(), List.of());
        }

        private static Object[][] rows(LongStream seeds) {
            return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
        }

        /** Returns the seeds of the runs with crashes and lost messages. */
        @DataProvider(name = "seeds")
        public Object[][] seeds() {
            return rows(LongStream.range(1_000, 1_040));
        }

        /** Guards against lost turns and exceeded budgets under crashes and lost messages. */
        @Test(dataProvider = "seeds")
        public void confirmedStateSurvivesCrashesAndLostMessages(long seed) {
            assertStateIntact(runWithCrashes(StorageCluster.withLayout(4, 1, seed)));
        }

        /** Returns the seeds of the runs with cut links, and those that have failed before. */
        @DataProvider(name = "cutLinkSeeds")
        public Object[][] cutLinkSeeds() {
            return rows(
                    LongStream.concat(
                            LongStream.range(5_000, 5_060), LongStream.of(REGRESSION_SEEDS)));
        }

        /**
         * Guards against lost turns and exceeded budgets when links between hosts are cut in one or
         * both directions, the key-value service is down or executes writes late, and disks are
         * lost, all at the same time. Seed 5046 exceeded a budget: a member whose records had been
         * collected for a takeover restarted and took part in the ended epoch again.
         */
        @Test(dataProvider = "cutLinkSeeds")
        public void confirmedStateSurvivesCutLinks(long seed) {
            assertStateIntact(runWithCutLinks(StorageCluster.withLayout(4, 1, seed)));
        }

        private static Workload runWithCutLinks(StorageCluster cluster) {
            Workload workload = new Workload(cluster);
            for (int round = 0; round < 4; round++) {
                StorageCluster.SimulatedHost faultyHost =
                        cluster.hosts.get(cluster.random.nextInt(cluster.hosts.size()));
                cluster.keyValue.setDown(cluster.random.nextInt(3) == 0);
                if (cluster.random.nextInt(3) == 0) {
                    cluster.keyValue.setWriteDelay(
                            Duration.ofMillis(1_000 + cluster.random.nextInt(5_000)));
                }
                for (int cut = cluster.random.nextInt(5); cut > 0; cut--) {
                    cutRandomLink(cluster);
                }
                sendRequests(cluster, workload, 12);
                injectFault(faultyHost, cluster.random.nextInt(3));
                sendRequests(cluster, workload, 12);
                cluster.keyValue.setDown(false);
                cluster.keyValue.setWriteDelay(Duration.ZERO);
                if (cluster.random.nextBoolean()) {
                    cluster.network.restoreLinks();
                }
                sendRequests(cluster, workload, 6);
                faultyHost.start();
                cluster.network.restoreLinks();
                sendRequests(cluster, workload, 6);
                cluster.advance(6_000);
            }
            return workload;
        }

        private static void cutRandomLink(StorageCluster cluster) {
            int fromIndex = cluster.random.nextInt(cluster.hosts.size());
            int toIndex = cluster.random.nextInt(cluster.hosts.size());
            if (fromIndex == toIndex) {
                return;
            }
            Address source = cluster.hosts.get(fromIndex).storageHost.address();
            Address destination = cluster.hosts.get(toIndex).storageHost.address();
            cluster.network.cut(source, destination);
            if (cluster.random.nextBoolean()) {
                cluster.network.cut(destination, source);
            }
        }

        private static void sendRequests(StorageCluster cluster, Workload workload, int turns) {
            for (int i = 0; i < turns; i++) {
                workload.storeTurn();
                workload.reserve(new ProgramId("program-" + cluster.random.nextInt(7)));
                cluster.advance(cluster.random.nextInt(250));
            }
        }

        /**
         * Guards against checks that cannot fail: with a single copy, a lost disk must lose turns.
         */
        @Test
        public void lossWithoutReplicationIsDetected() {
            int failures = 0;
            for (long seed = 1_000; seed < 1_010; seed++) {
                failures +=
                        runWithCrashes(StorageCluster.withLayout(4, 0, seed)).lostTurns().isEmpty()
                                ? 0
                                : 1;
            }
            assertTrue(failures > 0);
        }

        private static Workload runWithCrashes(StorageCluster cluster) {
            Workload workload = new Workload(cluster);
            StorageCluster.SimulatedHost faultyHost = null;
            long nextFaultAtNanos = 0;
            for (int step = 0; step < STEPS; step++) {
                workload.storeTurn();
                workload.reserve(new ProgramId("program-" + step % 7));
                cluster.network.setLossProbability(cluster.random.nextInt(4) == 0 ? 0.05 : 0);
                cluster.keyValue.setLosingResponses(cluster.random.nextInt(8) == 0);
                if (faultyHost != null && cluster.random.nextInt(3) == 0) {
                    faultyHost.start();
                    faultyHost = null;
                    nextFaultAtNanos =
                            cluster.scheduler.nanoTime() + Duration.ofSeconds(5).toNanos();
                    cluster.keyValue.setLosingResponses(false);
                } else if (faultyHost == null && cluster.scheduler.nanoTime() > nextFaultAtNanos) {
                    faultyHost = cluster.hosts.get(cluster.random.nextInt(4));
                    injectFault(faultyHost, cluster.random.nextInt(3));
                }
                cluster.advance(100 + cluster.random.nextInt(400));
            }
            cluster.network.setLossProbability(0);
            cluster.keyValue.setLosingResponses(false);
            cluster.hosts.forEach(StorageCluster.SimulatedHost::start);
            cluster.advance(8_000);
            return workload;
        }

        private static void injectFault(StorageCluster.SimulatedHost faultyHost, int faultKind) {
            switch (faultKind) {
                case 0 -> faultyHost.kill();
                case 1 -> faultyHost.losePower();
                default -> faultyHost.loseDisk();
            }
        }
    }
}
