package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Many entry hosts before one storage host that has more work than it can do for a while. */
public final class OverloadTest {
    private OverloadTest() {}

    private static final int ENTRY_HOSTS = 7;
    private static final Duration WARM_COST = Duration.ofMillis(2);
    private static final Duration COLD_COST = Duration.ofMillis(8);
    private static final int REQUESTS_UNTIL_WARM = 400;

    /** Time that a turn waits for its reservation: 70 in 100 of 4 s. */
    private static final Duration RESERVATION_TIMEOUT = Duration.ofMillis(2_800);

    private static final StorageHost HOST =
            new StorageHost(
                    new HostId("storage-1"),
                    new StoreId("store-1"),
                    new Address("10.0.0.1", 7000),
                    new AvailabilityZone("a"));

    /** Entry hosts whose turns reserve tokens at one storage host, in virtual time. */
    private static final class Fleet {
        private final VirtualScheduler scheduler = new VirtualScheduler();
        private final Random random;
        private final OverloadedHost host;
        private final List<HistoryClient> clients = new ArrayList<>();
        private int turns;
        private int begun;
        private int granted;
        private int countedTurns;

        Fleet(long seed) {
            random = new Random(seed);
            host = new OverloadedHost(scheduler, random, WARM_COST, COLD_COST);
            LayoutHolder layouts = new LayoutHolder();
            layouts.adoptIfNewer(
                    new LayoutHolder.VersionedLayout(
                            new Layout(
                                    Vector.of(
                                            new View(
                                                    new ShardId(0),
                                                    new Epoch(1),
                                                    Vector.of(HOST)))),
                            1));
            for (int i = 0; i < ENTRY_HOSTS; i++) {
                clients.add(
                        new HistoryClient(
                                layouts,
                                new StorageRequestSender(
                                        new HostId("entry-" + i),
                                        new LimitedPeerChannel(host.channel(), scheduler),
                                        new HostTable(),
                                        scheduler,
                                        random),
                                scheduler));
            }
        }

        /** Lets turns begin at a rate for a time; each is settled 50 ms after its reservation. */
        void run(double turnsPerSecond, Duration duration) {
            long endNanos = scheduler.nanoTime() + duration.toNanos();
            while (scheduler.nanoTime() < endNanos) {
                beginTurn();
                double gapSeconds = -Math.log(1 - random.nextDouble()) / turnsPerSecond;
                scheduler.advance(Duration.ofNanos((long) (gapSeconds * 1e9)));
            }
        }

        private void beginTurn() {
            HistoryClient client = clients.get(random.nextInt(ENTRY_HOSTS));
            int turn = turns;
            ProgramId program = new ProgramId("p" + turns);
            CallId call = new CallId("c" + turns++);
            begun++;
            client.reserve(program, call, 10, 100, new StreamStart.Untracked(), RESERVATION_TIMEOUT)
                    .thenAccept(
                            reservation -> {
                                if (reservation instanceof TurnHistory.Reservation.Granted
                                        && turn >= countedTurns) {
                                    granted++;
                                }
                                if (reservation instanceof TurnHistory.Reservation.Refused) {
                                    return;
                                }
                                scheduler.after(
                                        Duration.ofMillis(50),
                                        () -> client.settle(program, call, 5));
                            });
        }

        /** Returns the share of the turns begun since the last call that were granted. */
        double takeGrantedShare() {
            double share = (double) granted / begun;
            granted = 0;
            begun = 0;
            countedTurns = turns;
            return share;
        }
    }

    /** Storage hosts restart while callers press; the load is below what a warm host can do. */
    public static final class AfterRestart {
        /** Seeds of the arrivals and service times. */
        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
        }

        /**
         * Guards against an overload that outlasts its cause: requests that timed out at the
         * restarted host were repeated while it still worked on the copies that nobody waited for,
         * so that no turn was served although the load had become small enough.
         */
        @Test(dataProvider = "seeds")
        public void serviceReturnsWithinTwelveSeconds(long seed) {
            Fleet fleet = new Fleet(seed);
            fleet.run(150, Duration.ofSeconds(4));
            assertTrue(fleet.takeGrantedShare() > 0.99, "load not borne before the restart");
            fleet.host.stop();
            fleet.run(150, Duration.ofSeconds(2));
            fleet.host.start(REQUESTS_UNTIL_WARM);
            fleet.run(150, Duration.ofSeconds(12));
            fleet.takeGrantedShare();
            fleet.run(150, Duration.ofSeconds(4));
            double share = fleet.takeGrantedShare();
            assertTrue(share > 0.9, "granted share " + share);
        }

        /** Guards against connections to a slow host that use up its file descriptors. */
        @Test(dataProvider = "seeds")
        public void requestsAtTheHostAreBounded(long seed) {
            Fleet fleet = new Fleet(seed);
            fleet.host.start(REQUESTS_UNTIL_WARM);
            fleet.run(600, Duration.ofSeconds(6));
            assertTrue(fleet.host.maximumQueue() <= ENTRY_HOSTS * 128, "queue too long");
        }
    }

    /** More turns for a long time than the host can serve. */
    public static final class LastingOverload {
        /**
         * Guards against an overloaded host that serves hardly any turn, because each reservation
         * is answered after its turn has given up.
         */
        @Test
        public void capacityIsUsed() {
            Fleet fleet = new Fleet(11);
            fleet.run(500, Duration.ofSeconds(4));
            int before = fleet.granted;
            fleet.run(500, Duration.ofSeconds(6));
            double grantedPerSecond = (fleet.granted - before) / 6.0;
            // The host does 500 requests a second; a turn takes two.
            assertTrue(grantedPerSecond > 175, "granted " + grantedPerSecond + " a second");
        }

        /** Guards against a call that waits for its deadline though it cannot be served. */
        @Test
        public void turnsThatCannotBeServedAreRefusedAtOnce() {
            Fleet fleet = new Fleet(12);
            fleet.run(800, Duration.ofSeconds(3));
            List<Long> refusedAfterMillis = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                long sentNanos = fleet.scheduler.nanoTime();
                CompletableFuture<TurnHistory.Reservation> reservation =
                        fleet.clients
                                .get(0)
                                .reserve(
                                        new ProgramId("q" + i),
                                        new CallId("q" + i),
                                        10,
                                        100,
                                        new StreamStart.Untracked(),
                                        RESERVATION_TIMEOUT);
                reservation.thenAccept(
                        result -> {
                            if (!(result instanceof TurnHistory.Reservation.Granted)) {
                                refusedAfterMillis.add(
                                        (fleet.scheduler.nanoTime() - sentNanos) / 1_000_000);
                            }
                        });
                fleet.run(800, Duration.ofMillis(5));
            }
            fleet.run(100, Duration.ofSeconds(4));
            long latestMillis = RESERVATION_TIMEOUT.toMillis() / 2;
            long late = refusedAfterMillis.stream().filter(millis -> millis > latestMillis).count();
            long atOnce = refusedAfterMillis.stream().filter(millis -> millis == 0).count();
            assertTrue(refusedAfterMillis.size() > 50, "refused " + refusedAfterMillis.size());
            assertEquals(late, 0, "refused late: " + refusedAfterMillis);
            assertTrue(atOnce > refusedAfterMillis.size() / 2, "" + refusedAfterMillis);
        }
    }

    /** The host does not answer at all. */
    public static final class Unreachable {
        /**
         * Guards against turns that are refused at once when the primary is lost: another host
         * takes over within about a second, and the turn can wait for it.
         */
        @Test
        public void turnsWaitForAnotherPrimary() {
            Fleet fleet = new Fleet(21);
            fleet.run(100, Duration.ofSeconds(2));
            fleet.host.stop();
            fleet.run(100, Duration.ofMillis(1_500));
            fleet.takeGrantedShare();
            fleet.run(100, Duration.ofMillis(300));
            fleet.host.start(0);
            fleet.run(1, Duration.ofSeconds(6));
            double share = fleet.takeGrantedShare();
            assertTrue(share > 0.95, "granted share " + share);
        }

        /** Guards against turns that are refused in the first second after the loss. */
        @Test
        public void turnsWaitFromTheLossOn() {
            Fleet fleet = new Fleet(22);
            fleet.run(150, Duration.ofSeconds(2));
            fleet.host.stop();
            fleet.takeGrantedShare();
            fleet.run(150, Duration.ofSeconds(1));
            fleet.host.start(0);
            fleet.run(1, Duration.ofSeconds(6));
            double share = fleet.takeGrantedShare();
            assertTrue(share > 0.95, "granted share " + share);
        }
    }
}
