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

/** Durable program state under random faults; every seed is played in full. */
public final class ReplicationFaultsTest {
    private ReplicationFaultsTest() {}

    /** Seeded runs of random faults within what is tolerated. */
    public static final class RandomFaults {
        private static final int STEPS = 60;

        /**
         * Seeds beyond the usual ones that failed. 5109: a primary confirmed a reservation that it
         * had decided on before another host was the primary for some time.
         */
        private static final long[] FAILED_SEEDS = {5_109};

        private static void assertKept(Promises promises) {
            promises.granted.forEach(
                    (program, tokens) ->
                            assertTrue(tokens <= Promises.BUDGET, program + ": " + tokens));
            assertEquals(promises.lostTurns(), List.of());
        }

        private static Object[][] rows(LongStream seeds) {
            return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
        }

        /** Returns the seeds. */
        @DataProvider(name = "seeds")
        public Object[][] seeds() {
            return rows(LongStream.range(1_000, 1_040));
        }

        /** Guards against lost turns and exceeded budgets under crashes and lost messages. */
        @Test(dataProvider = "seeds")
        public void promisesHold(long seed) {
            assertKept(play(StorageCluster.formed(4, 1, seed)));
        }

        /** Returns the seeds of the runs with cut links. */
        @DataProvider(name = "cutSeeds")
        public Object[][] cutSeeds() {
            return rows(
                    LongStream.concat(LongStream.range(5_000, 5_060), LongStream.of(FAILED_SEEDS)));
        }

        /**
         * Guards against lost turns and exceeded budgets when hosts are cut off in one direction or
         * both, the key-value service is down or executes writes late, and disks are lost, at the
         * same time. Seed 5046 exceeded a budget when a member that had given its records to a host
         * which took over forgot this with a restart.
         */
        @Test(dataProvider = "cutSeeds")
        public void promisesHoldWhileLinksAreCut(long seed) {
            assertKept(playCuts(StorageCluster.formed(4, 1, seed)));
        }

        private static Promises playCuts(StorageCluster cluster) {
            Promises promises = new Promises(cluster);
            for (int round = 0; round < 4; round++) {
                StorageCluster.StorageHost victim =
                        cluster.hosts.get(cluster.random.nextInt(cluster.hosts.size()));
                cluster.keyValue.setDown(cluster.random.nextInt(3) == 0);
                if (cluster.random.nextInt(3) == 0) {
                    cluster.keyValue.setWriteDelay(
                            Duration.ofMillis(1_000 + cluster.random.nextInt(5_000)));
                }
                for (int cut = cluster.random.nextInt(5); cut > 0; cut--) {
                    cutRandomLink(cluster);
                }
                work(cluster, promises, 12);
                fail(victim, cluster.random.nextInt(3));
                work(cluster, promises, 12);
                cluster.keyValue.setDown(false);
                cluster.keyValue.setWriteDelay(Duration.ZERO);
                if (cluster.random.nextBoolean()) {
                    cluster.network.heal();
                }
                work(cluster, promises, 6);
                victim.start();
                cluster.network.heal();
                work(cluster, promises, 6);
                cluster.run(6_000);
            }
            return promises;
        }

        private static void cutRandomLink(StorageCluster cluster) {
            int from = cluster.random.nextInt(cluster.hosts.size());
            int to = cluster.random.nextInt(cluster.hosts.size());
            if (from == to) {
                return;
            }
            Address first = cluster.hosts.get(from).member.address();
            Address second = cluster.hosts.get(to).member.address();
            cluster.network.cut(first, second);
            if (cluster.random.nextBoolean()) {
                cluster.network.cut(second, first);
            }
        }

        private static void work(StorageCluster cluster, Promises promises, int turns) {
            for (int i = 0; i < turns; i++) {
                promises.storeTurn();
                promises.reserve(new ProgramId("program-" + cluster.random.nextInt(7)));
                cluster.run(cluster.random.nextInt(250));
            }
        }

        /** Guards against a test that cannot fail: with a single copy, lost disks lose turns. */
        @Test
        public void aSingleCopyIsDetected() {
            int failures = 0;
            for (long seed = 1_000; seed < 1_010; seed++) {
                failures += play(StorageCluster.formed(4, 0, seed)).lostTurns().isEmpty() ? 0 : 1;
            }
            assertTrue(failures > 0);
        }

        private static Promises play(StorageCluster cluster) {
            Promises promises = new Promises(cluster);
            StorageCluster.StorageHost victim = null;
            long repairedAt = 0;
            for (int step = 0; step < STEPS; step++) {
                promises.storeTurn();
                promises.reserve(new ProgramId("program-" + step % 7));
                cluster.network.setLossShare(cluster.random.nextInt(4) == 0 ? 0.05 : 0);
                cluster.keyValue.setLosingAnswers(cluster.random.nextInt(8) == 0);
                if (victim != null && cluster.random.nextInt(3) == 0) {
                    victim.start();
                    victim = null;
                    repairedAt = cluster.scheduler.nanoTime() + Duration.ofSeconds(5).toNanos();
                    cluster.keyValue.setLosingAnswers(false);
                } else if (victim == null && cluster.scheduler.nanoTime() > repairedAt) {
                    victim = cluster.hosts.get(cluster.random.nextInt(4));
                    fail(victim, cluster.random.nextInt(3));
                }
                cluster.run(100 + cluster.random.nextInt(400));
            }
            cluster.network.setLossShare(0);
            cluster.keyValue.setLosingAnswers(false);
            cluster.hosts.forEach(StorageCluster.StorageHost::start);
            cluster.run(8_000);
            return promises;
        }

        private static void fail(StorageCluster.StorageHost victim, int kind) {
            switch (kind) {
                case 0 -> victim.kill();
                case 1 -> victim.losePower();
                default -> victim.wipe();
            }
        }
    }
}
