package org.tamarackfold.caller.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Hosts that tell each other of requests that crash endpoints, without a key-value service. */
public final class QuarantineFleetTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1);
    private static final RequestFingerprint SOUND = new RequestFingerprint(2, 2);

    /** The time within which all hosts in touch must know what one of them does. */
    private static final long CONTACT_MILLIS = 3_000;

    private QuarantineFleetTest() {}

    /** Three endpoints end, each under a copy that another host has sent. */
    private static void crashThree(QuarantineFleet fleet) {
        fleet.end(0, 1, CRASHING);
        fleet.advance(400);
        fleet.end(1, 2, CRASHING);
        fleet.advance(400);
        fleet.end(2, 3, CRASHING);
    }

    /** The seeds of the gossip, for fleets of today and of the size to design for. */
    abstract static class Sizes {
        @DataProvider
        public Object[][] fleets() {
            return new Object[][] {{3, 1}, {7, 2}, {7, 3}, {70, 4}, {330, 5}, {330, 6}};
        }
    }

    /** How fast and how dear the knowledge spreads. */
    public static final class Spread extends Sizes {
        /** Guards against hosts that send a request which others have seen crash endpoints. */
        @Test(dataProvider = "fleets")
        public void allHostsKnowWithinTheBound(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 10, seed);
            crashThree(fleet);
            fleet.advance(CONTACT_MILLIS);
            assertEquals(fleet.unaware(CRASHING), Vector.empty());
        }

        /** Guards against single ends that stay with the host that saw them. */
        @Test(dataProvider = "fleets")
        public void oneEndIsKnownWithinTheBound(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 10, seed);
            fleet.end(0, 1, SOUND);
            fleet.advance(CONTACT_MILLIS);
            for (int i = 0; i < size; i++) {
                assertTrue(fleet.verdict(i, SOUND) instanceof Verdict.Suspected, "host " + i);
            }
        }

        /** Guards against sound requests that stay suspected at other hosts. */
        @Test(dataProvider = "fleets")
        public void wholeResponseClearsEverywhere(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 10, seed);
            fleet.end(0, 1, SOUND);
            fleet.end(1, 2, SOUND);
            fleet.advance(CONTACT_MILLIS);
            fleet.answer(2, 3, SOUND);
            fleet.advance(CONTACT_MILLIS);
            for (int i = 0; i < size; i++) {
                assertEquals(fleet.verdict(i, SOUND), new Verdict.Clear(), "host " + i);
            }
        }

        /** Guards against messages that take more than the 20 KB/s that a host has for control. */
        @Test(dataProvider = "fleets")
        public void messagesAreBounded(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 600, seed);
            int seconds = 10;
            for (int i = 0; i < seconds; i++) {
                // Twelve endpoints a second end with batches of 12 calls.
                for (int call = 0; call < 144; call++) {
                    int endpoint = 12 * i + call / 12;
                    fleet.end(call % size, endpoint, new RequestFingerprint(call, 1_000 + i));
                }
                fleet.advance(1_000);
            }
            long most = mostBytes(fleet);
            System.out.println(
                    "quarantine | " + size + " hosts | busy | " + most / seconds + " B/s");
            assertTrue(most < 20_000L * seconds, "bytes in " + seconds + " s: " + most);
        }

        /** Guards against hosts that send much while nothing happens. */
        @Test(dataProvider = "fleets")
        public void idleHostsSendLittle(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 600, seed);
            crashThree(fleet);
            fleet.advance(60_000);
            fleet.sentBytes.clear();
            fleet.advance(60_000);
            long perSecond = mostBytes(fleet) / 60;
            System.out.println("quarantine | " + size + " hosts | idle | " + perSecond + " B/s");
            assertTrue(perSecond < 200, "bytes a second: " + perSecond);
        }

        private static long mostBytes(QuarantineFleet fleet) {
            return fleet.sentBytes.values().stream().mapToLong(Long::longValue).max().getAsLong();
        }
    }

    /** Hosts that were away. */
    public static final class Absence extends Sizes {
        /** Guards against a host that starts again and does not know what it knew. */
        @Test(dataProvider = "fleets")
        public void hostKnowsAgainAfterItsStart(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 10, seed);
            crashThree(fleet);
            fleet.advance(60_000);
            fleet.start(fleet.names.get(1));
            fleet.advance(CONTACT_MILLIS);
            assertTrue(fleet.isQuarantined(1, CRASHING));
        }

        /** Guards against a host that was frozen or cut off while the others learned. */
        @Test(dataProvider = "fleets")
        public void hostCatchesUpAfterAFreeze(int size, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(size, 10, seed);
            fleet.silent.add(fleet.names.getLast());
            fleet.end(0, 1, CRASHING);
            fleet.end(1, 2, CRASHING);
            fleet.end(0, 3, CRASHING);
            fleet.advance(30_000);
            fleet.silent.clear();
            fleet.advance(CONTACT_MILLIS);
            assertEquals(fleet.unaware(CRASHING), Vector.empty());
        }

        /** Guards against a request that survives because the host that found it is lost. */
        @Test
        public void knowledgeOutlastsItsFinders() {
            QuarantineFleet fleet = new QuarantineFleet(7, 10, 8);
            crashThree(fleet);
            fleet.advance(CONTACT_MILLIS);
            fleet.silent.addAll(fleet.names.subList(0, 3));
            fleet.advance(10_000);
            assertEquals(fleet.unaware(CRASHING), Vector.empty());
        }

        /** Guards against hosts of an earlier build that hold up the others. */
        @Test
        public void hostsOfAnEarlierBuildAreLeftOut() {
            QuarantineFleet fleet = new QuarantineFleet(7, 10, 9);
            fleet.silent.addAll(fleet.names.subList(3, 7));
            crashThree(fleet);
            fleet.advance(CONTACT_MILLIS);
            assertEquals(fleet.unaware(CRASHING), Vector.empty());
        }

        /** Guards against halves of a split that stay apart after it. */
        @Test
        public void halvesAgreeAfterASplit() {
            QuarantineFleet fleet = new QuarantineFleet(8, 10, 10);
            fleet.link = (from, to) -> half(fleet, from) == half(fleet, to);
            fleet.end(0, 1, CRASHING);
            fleet.end(7, 2, CRASHING);
            fleet.advance(5_000);
            fleet.end(1, 3, CRASHING);
            fleet.advance(CONTACT_MILLIS);
            assertFalse(fleet.isQuarantined(0, CRASHING));
            fleet.link = (from, to) -> true;
            fleet.advance(CONTACT_MILLIS);
            assertEquals(fleet.unaware(CRASHING), Vector.empty());
        }

        private static boolean half(QuarantineFleet fleet, HostId host) {
            return fleet.names.indexOf(host) < 4;
        }
    }

    /** Copies of one suspected request. */
    public static final class Trials {
        private static final Duration LEASE = Duration.ofSeconds(4);

        private static TrialDecision ask(QuarantineFleet fleet, int host) {
            CompletableFuture<Quarantine.TrialAnswer> answer =
                    fleet.host(host).requestTrial(QuarantineFleet.key(CRASHING), LEASE);
            fleet.advance(400);
            return answer.join().decision();
        }

        /** Guards against copies that crash several endpoints before the first one counts. */
        @Test
        public void oneCopyIsTriedAtATime() {
            QuarantineFleet fleet = new QuarantineFleet(7, 10, 11);
            fleet.end(0, 1, CRASHING);
            fleet.advance(500);
            int granted = 0;
            for (int host = 0; host < 7; host++) {
                granted += ask(fleet, host) instanceof TrialDecision.Granted ? 1 : 0;
            }
            assertEquals(granted, 1);
        }

        /** Guards against a quick second try. */
        @Test
        public void noCopyIsTriedRightAfterAnEnd() {
            QuarantineFleet fleet = new QuarantineFleet(7, 10, 12);
            fleet.end(0, 1, CRASHING);
            fleet.end(1, 2, CRASHING);
            fleet.advance(20);
            for (int host = 0; host < 2; host++) {
                TrialDecision decision = ask(fleet, host);
                assertTrue(decision instanceof TrialDecision.Later, decision.toString());
            }
        }

        /** Guards against a trial that is held for ever by a host that has died. */
        @Test
        public void trialEndsWithItsLease() {
            QuarantineFleet fleet = new QuarantineFleet(7, 10, 13);
            fleet.end(0, 1, CRASHING);
            fleet.advance(500);
            assertEquals(ask(fleet, 3), new TrialDecision.Granted());
            fleet.silent.add(fleet.names.get(3));
            fleet.advance(LEASE.toMillis());
            assertEquals(ask(fleet, 4), new TrialDecision.Granted());
        }

        /** Guards against calls that wait for a host that does not reply. */
        @Test
        public void anotherHostGrantsWhenOneIsLost() {
            QuarantineFleet fleet = new QuarantineFleet(2, 10, 14);
            fleet.end(0, 1, CRASHING);
            fleet.advance(500);
            fleet.silent.add(fleet.names.get(1));
            assertEquals(ask(fleet, 0), new TrialDecision.Granted());
        }

        /** Guards against a host that sends a copy although others know better. */
        @Test
        public void quarantinedRequestIsDenied() {
            QuarantineFleet fleet = new QuarantineFleet(7, 10, 15);
            crashThree(fleet);
            fleet.advance(CONTACT_MILLIS);
            fleet.start(fleet.names.get(5));
            assertTrue(ask(fleet, 5) instanceof TrialDecision.Denied);
            assertTrue(fleet.isQuarantined(5, CRASHING));
        }
    }

    /** Several requests that crash endpoints, beside sound ones. */
    public static final class SeveralRequests {
        /** What a request may end: the platform allows three, and three tries later on. */
        private static final int ALLOWED_ENDS = 6;

        /** The number of crashing requests, whether they may run twice, and a seed. */
        @DataProvider
        public Object[][] loads() {
            return new Object[][] {
                {1, false, 1},
                {1, true, 2},
                {4, false, 3},
                {4, true, 4},
                {4, false, 5},
                {4, true, 6}
            };
        }

        /** Guards against requests that end many endpoints before they are certain. */
        @Test(dataProvider = "loads")
        public void fewEndpointsEnd(int crashing, boolean mayRetry, long seed) {
            QuarantineFleet fleet = new QuarantineFleet(6, 10, seed);
            CrashingLoad load = new CrashingLoad(fleet, seed);
            load.sendSound(30);
            fleet.advance(2_000);
            for (int i = 0; i < crashing; i++) {
                load.sendCrashing(new RequestFingerprint(i, 99), 400, mayRetry);
            }
            fleet.advance(30_000);
            System.out.println(
                    "quarantine | %d crashing, retried %s | ended %s | sound %d of %d"
                            .formatted(
                                    crashing,
                                    mayRetry,
                                    load.ended.values(),
                                    load.soundServed,
                                    load.soundSent));
            load.ended.forEach(
                    (request, ends) -> assertTrue(ends <= ALLOWED_ENDS, request + ": " + ends));
            assertEquals(load.soundRejected, 0);
            int served = load.soundServed;
            int sent = load.soundSent;
            fleet.advance(5_000);
            assertEquals(load.soundServed - served, load.soundSent - sent, 2);
        }
    }
}
