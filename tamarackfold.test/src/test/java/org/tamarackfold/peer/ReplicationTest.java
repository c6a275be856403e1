package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Durable program state under faults of hosts, disks, links and the key-value service. */
public final class ReplicationTest {
    private static final Duration PATIENCE = Duration.ofSeconds(6);
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final long BUDGET = 400;
    private static final long TURN_TOKENS = 100;

    private ReplicationTest() {}

    /** What callers have been told, to be compared with what the cluster answers later. */
    private static final class Promises {
        private final StorageCluster cluster;
        private final Map<CallId, String> storedTurns = new HashMap<>();
        private final Map<ProgramId, Long> granted = new HashMap<>();
        private int next;
        private int refused;

        Promises(StorageCluster cluster) {
            this.cluster = cluster;
        }

        void storeTurn() {
            CallId call = new CallId("turn-" + next++);
            String text = "history of " + call;
            cluster.client
                    .store(call, text.getBytes(StandardCharsets.UTF_8), RETENTION, PATIENCE)
                    .thenAccept(
                            stored -> {
                                if (stored) {
                                    storedTurns.put(call, text);
                                }
                            });
        }

        void reserve(ProgramId program) {
            CallId call = new CallId("reservation-" + next++);
            cluster.client
                    .reserve(program, call, TURN_TOKENS, BUDGET, PATIENCE)
                    .thenAccept(
                            result -> {
                                if (result instanceof TurnHistory.Reservation.Granted) {
                                    granted.merge(program, TURN_TOKENS, Long::sum);
                                } else {
                                    refused++;
                                }
                            });
        }

        /** Returns the turns that were confirmed and are now said to be absent or differ. */
        List<String> lostTurns() {
            List<String> lost = new ArrayList<>();
            Map<CallId, CompletableFuture<TurnHistory.Lookup>> answers = new HashMap<>();
            storedTurns.keySet().forEach(c -> answers.put(c, cluster.client.lookUp(c, PATIENCE)));
            cluster.run(PATIENCE.toMillis() + 1_000);
            answers.forEach(
                    (call, answer) -> {
                        TurnHistory.Lookup lookup = answer.getNow(null);
                        boolean same =
                                lookup instanceof TurnHistory.Lookup.Found(byte[] text)
                                        && new String(text, StandardCharsets.UTF_8)
                                                .equals(storedTurns.get(call));
                        if (!same) {
                            lost.add(call + ": " + lookup);
                        }
                    });
            return lost;
        }
    }

    /** A calm cluster. */
    public static final class Calm {
        /**
         * Guards against a layout that leaves a record on fewer disks than losses are tolerated.
         */
        @Test
        public void everyShardHasOneMemberMoreThanToleratedLosses() {
            StorageCluster cluster = StorageCluster.formed(5, 2, 1);
            assertTrue(cluster.layout().views().forAll(view -> view.members().size() == 3));
            assertTrue(
                    cluster.layout()
                            .views()
                            .forAll(v -> v.members().map(Member::zone).distinct().size() == 3));
        }

        /** Guards against a budget that grants more than it holds. */
        @Test
        public void budgetIsNotExceeded() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 2);
            Promises promises = new Promises(cluster);
            ProgramId program = new ProgramId("p");
            for (int i = 0; i < 10; i++) {
                promises.reserve(program);
            }
            cluster.run(1_000);
            assertEquals(promises.granted.get(program), Long.valueOf(BUDGET));
            assertEquals(promises.refused, 6);
        }

        /** Guards against a refusal of turns that the budget holds once others have settled. */
        @Test
        public void settledTurnsReturnWhatTheyDidNotUse() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 3);
            ProgramId program = new ProgramId("p");
            for (int i = 0; i < 12; i++) {
                CallId call = new CallId("turn-" + i);
                CompletableFuture<TurnHistory.Reservation> reserved =
                        cluster.client.reserve(program, call, TURN_TOKENS, BUDGET, PATIENCE);
                cluster.run(200);
                assertTrue(
                        reserved.getNow(null) instanceof TurnHistory.Reservation.Granted,
                        "turn " + i);
                cluster.client.settle(program, call, 25);
                cluster.run(200);
            }
        }

        /** Guards against a reservation that arrives after its turn was given up. */
        @Test
        public void settledTurnCannotBeReservedAgain() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 4);
            ProgramId program = new ProgramId("p");
            CallId call = new CallId("late");
            cluster.client.settle(program, call, 0);
            cluster.run(300);
            CompletableFuture<TurnHistory.Reservation> reserved =
                    cluster.client.reserve(program, call, TURN_TOKENS, BUDGET, PATIENCE);
            cluster.run(PATIENCE.toMillis() + 1_000);
            assertTrue(
                    reserved.getNow(null) instanceof TurnHistory.Reservation.Unavailable,
                    String.valueOf(reserved.getNow(null)));
        }

        /** Guards against calling a turn absent that exists, or the reverse. */
        @Test
        public void unknownTurnIsAbsent() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 5);
            CompletableFuture<TurnHistory.Lookup> lookup =
                    cluster.client.lookUp(new CallId("unknown"), PATIENCE);
            cluster.run(500);
            assertTrue(lookup.getNow(null) instanceof TurnHistory.Lookup.Absent);
        }
    }

    /** One host fails. */
    public static final class OneHostFails {
        /** Guards against state that is lost with the disk of its primary. */
        @Test
        public void turnsSurviveTheDiskOfAnyHost() {
            for (int victim = 0; victim < 4; victim++) {
                StorageCluster cluster = StorageCluster.formed(4, 1, 10 + victim);
                Promises promises = new Promises(cluster);
                for (int i = 0; i < 40; i++) {
                    promises.storeTurn();
                }
                cluster.run(1_000);
                assertEquals(promises.storedTurns.size(), 40);
                cluster.hosts.get(victim).wipe();
                cluster.run(700);
                cluster.hosts.get(victim).start();
                cluster.run(4_000);
                assertEquals(promises.lostTurns(), List.of(), "victim " + victim);
            }
        }

        /** Guards against a second loss after the time in which the first one is repaired. */
        @Test
        public void disksMayBeLostOneAfterTheOther() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 20);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 40; i++) {
                promises.storeTurn();
            }
            cluster.run(1_000);
            for (int victim = 0; victim < 4; victim++) {
                cluster.hosts.get(victim).wipe();
                cluster.run(500);
                cluster.hosts.get(victim).start();
                cluster.run(4_300);
            }
            assertEquals(promises.storedTurns.size(), 40);
            assertEquals(promises.lostTurns(), List.of());
        }

        /** Guards against a primary that confirms alone while it is cut off from the others. */
        @Test
        public void hostThatIsCutOffConfirmsNothing() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 21);
            StorageCluster.StorageHost cutOff = cluster.hosts.get(0);
            cutFromOtherHosts(cluster, cutOff);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 60; i++) {
                promises.storeTurn();
                cluster.run(50);
            }
            cluster.run(3_000);
            cutOff.wipe();
            cluster.network.heal();
            cutOff.start();
            cluster.run(4_000);
            assertEquals(promises.storedTurns.size(), 60, "service goes on without the host");
            assertEquals(promises.lostTurns(), List.of());
        }

        /** Guards against shards that stand still for as long as the disk of one member does. */
        @Test
        public void hostWhoseDiskStallsIsReplaced() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 22);
            StorageCluster.StorageHost stalled = cluster.hosts.get(1);
            stalled.log.setStalled(true);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 60; i++) {
                promises.storeTurn();
                cluster.run(50);
            }
            assertEquals(promises.storedTurns.size(), 60);
            assertFalse(
                    StorageCluster.membersOf(cluster.layout())
                            .exists(m -> m.host().equals(stalled.member.host())));
            stalled.losePower();
            stalled.log.setStalled(false);
            stalled.start();
            cluster.run(3_000);
            assertEquals(promises.lostTurns(), List.of());
        }

        private static void cutFromOtherHosts(
                StorageCluster cluster, StorageCluster.StorageHost cutOff) {
            for (StorageCluster.StorageHost other : cluster.hosts) {
                if (other != cutOff) {
                    cluster.network.cut(other.member.address(), cutOff.member.address());
                    cluster.network.cut(cutOff.member.address(), other.member.address());
                }
            }
        }
    }

    /** An entry host is cut off from all storage hosts. */
    public static final class EntryHostIsCutOff {
        /** Guards against refused turns while another entry host reaches the storage hosts. */
        @Test
        public void anotherEntryHostPassesRequestsOn() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 60);
            cluster.addRelay();
            for (StorageCluster.StorageHost host : cluster.hosts) {
                cluster.network.cut(StorageCluster.ENTRY, host.member.address());
                cluster.network.cut(host.member.address(), StorageCluster.ENTRY);
            }
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 40; i++) {
                promises.storeTurn();
                cluster.run(100);
            }
            cluster.run(3_000);
            assertEquals(promises.storedTurns.size(), 40);
            assertEquals(promises.lostTurns(), List.of());
        }
    }

    /** All hosts fail, or the key-value service does. */
    public static final class ManyFail {
        /** Guards against confirmed turns that were only in memory. */
        @Test
        public void turnsSurviveALossOfPowerEverywhere() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 30);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 200; i++) {
                promises.storeTurn();
                cluster.run(3);
            }
            cluster.hosts.forEach(StorageCluster.StorageHost::losePower);
            cluster.run(1_000);
            cluster.hosts.forEach(StorageCluster.StorageHost::start);
            cluster.run(3_000);
            assertFalse(promises.storedTurns.isEmpty());
            assertEquals(promises.lostTurns(), List.of());
        }

        /** Guards against the loss of a disk together with a loss of power everywhere. */
        @Test
        public void turnsSurviveALostDiskAmongAllWithoutPower() {
            for (int victim = 0; victim < 4; victim++) {
                StorageCluster cluster = StorageCluster.formed(4, 1, 31 + victim);
                Promises promises = new Promises(cluster);
                for (int i = 0; i < 100; i++) {
                    promises.storeTurn();
                    cluster.run(4);
                }
                cluster.hosts.forEach(StorageCluster.StorageHost::losePower);
                cluster.hosts.get(victim).wipe();
                cluster.run(1_000);
                cluster.hosts.forEach(StorageCluster.StorageHost::start);
                cluster.run(6_000);
                assertEquals(promises.lostTurns(), List.of(), "victim " + victim);
            }
        }

        /** Guards against an outage of the key-value service that stops running shards. */
        @Test
        public void shardsWorkWhileTheKeyValueServiceIsDown() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 40);
            cluster.keyValue.setDown(true);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 50; i++) {
                promises.storeTurn();
                cluster.run(100);
            }
            assertEquals(promises.storedTurns.size(), 50);
        }

        /** Guards against a layout change whose answer is lost leaving a shard without primary. */
        @Test
        public void lostAnswersOfTheKeyValueServiceDelayAChangeOnly() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 41);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 30; i++) {
                promises.storeTurn();
            }
            cluster.run(500);
            cluster.keyValue.setLosingAnswers(true);
            cluster.hosts.get(1).kill();
            cluster.run(4_000);
            cluster.keyValue.setLosingAnswers(false);
            cluster.run(2_000);
            for (int i = 0; i < 30; i++) {
                promises.storeTurn();
            }
            cluster.run(2_000);
            assertEquals(promises.storedTurns.size(), 60);
            assertEquals(promises.lostTurns(), List.of());
        }
    }

    /** An operator empties a host. */
    public static final class Retirement {
        /** Guards against the loss of another disk right after a host was emptied. */
        @Test
        public void anEmptiedHostHoldsNoShardAndNothingIsLost() {
            StorageCluster cluster = StorageCluster.formed(4, 1, 50);
            Promises promises = new Promises(cluster);
            for (int i = 0; i < 40; i++) {
                promises.storeTurn();
            }
            cluster.run(1_000);
            StorageCluster.StorageHost retired = cluster.hosts.get(2);
            cluster.hosts.forEach(h -> h.members.setRetiring(retired.member.host(), true));
            cluster.run(2_000);
            assertFalse(
                    StorageCluster.membersOf(cluster.layout())
                            .exists(m -> m.host().equals(retired.member.host())));
            retired.kill();
            cluster.hosts.get(0).wipe();
            cluster.run(500);
            cluster.hosts.get(0).start();
            cluster.run(4_300);
            assertEquals(promises.lostTurns(), List.of());
        }
    }

    /** Seeded runs of random faults within what is tolerated. */
    public static final class RandomFaults {
        private static final int STEPS = 60;

        /** Returns the seeds. */
        @DataProvider(name = "seeds")
        public Object[][] seeds() {
            Object[][] seeds = new Object[40][];
            for (int i = 0; i < seeds.length; i++) {
                seeds[i] = new Object[] {1_000L + i};
            }
            return seeds;
        }

        /** Guards against lost turns and exceeded budgets under crashes and lost messages. */
        @Test(dataProvider = "seeds")
        public void promisesHold(long seed) {
            Promises promises = play(StorageCluster.formed(4, 1, seed));
            promises.granted.forEach(
                    (program, tokens) -> assertTrue(tokens <= BUDGET, program + ": " + tokens));
            assertEquals(promises.lostTurns(), List.of());
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
