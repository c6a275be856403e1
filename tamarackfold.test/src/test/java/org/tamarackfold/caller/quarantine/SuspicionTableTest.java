package org.tamarackfold.caller.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.Random;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What is evidence against a request, and what follows from it. */
public final class SuspicionTableTest {
    private SuspicionTableTest() {}

    /** The table of one host before a service of ten endpoints, in virtual time. */
    abstract static class Fixture {
        static final ServiceName SERVICE = new ServiceName("models");
        static final SoftwareVersion V1 = new SoftwareVersion("v1");
        static final SoftwareVersion V2 = new SoftwareVersion("v2");
        static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1);
        static final RequestFingerprint SOUND = new RequestFingerprint(2, 2);
        static final Duration EXPOSURE = Duration.ofMillis(100);
        static final int ENDPOINTS = 10;

        VirtualScheduler scheduler;
        SuspicionTable table;

        /** Creates an empty table. */
        @BeforeMethod
        public void start() {
            scheduler = new VirtualScheduler();
            table = new SuspicionTable(service -> ENDPOINTS, scheduler);
        }

        static SuspicionKey key(RequestFingerprint request, SoftwareVersion version) {
            return new SuspicionKey(request, new Software(SERVICE, version));
        }

        static Incarnation endpoint(int number) {
            return new Incarnation(new EndpointId("engine-" + number), 1_000 + number);
        }

        /** An endpoint ends under some requests. */
        void end(int number, RequestFingerprint... requests) {
            for (RequestFingerprint request : requests) {
                table.recordEnd(key(request, V1), endpoint(number), EXPOSURE);
            }
        }

        /** Lets all ends be known and decides. */
        void settle() {
            scheduler.advance(Duration.ofMillis(1_500));
            table.quarantineCertain();
        }

        Verdict verdict(RequestFingerprint request) {
            return verdict(request, HashSet.of(V1));
        }

        Verdict verdict(RequestFingerprint request, Set<SoftwareVersion> versions) {
            return table.verdict(request, SERVICE, versions);
        }

        boolean isQuarantined(RequestFingerprint request) {
            return verdict(request) instanceof Verdict.Quarantined;
        }

        void assertClear(RequestFingerprint request) {
            assertEquals(verdict(request), new Verdict.Clear());
        }
    }

    /** Requests that crash endpoints. */
    public static final class Evidence extends Fixture {
        /** Guards against a request that goes on after it has crashed three endpoints. */
        @Test
        public void threeEndsAreCertain() {
            end(1, CRASHING);
            end(2, CRASHING);
            settle();
            assertTrue(verdict(CRASHING) instanceof Verdict.Suspected);
            end(3, CRASHING);
            settle();
            assertTrue(isQuarantined(CRASHING));
        }

        /** Guards against one end that counts for each host and attempt that saw it. */
        @Test
        public void oneStartOfAnEndpointCountsOnce() {
            end(1, CRASHING);
            end(1, CRASHING);
            end(1, CRASHING);
            settle();
            assertEquals(((Verdict.Suspected) verdict(CRASHING)).ends(), 1);
        }

        /** Guards against an endpoint that crashes again under its id and does not count. */
        @Test
        public void anotherStartOfAnEndpointCounts() {
            for (int start = 1; start <= 3; start++) {
                Incarnation endpoint = new Incarnation(new EndpointId("engine-1"), start);
                table.recordEnd(key(CRASHING, V1), endpoint, EXPOSURE);
            }
            settle();
            assertTrue(isQuarantined(CRASHING));
        }

        /** Guards against decisions before the ends that other hosts saw are known. */
        @Test
        public void nothingIsDecidedAtOnce() {
            end(1, CRASHING);
            end(2, CRASHING);
            end(3, CRASHING);
            assertTrue(table.quarantineCertain().isEmpty());
            assertFalse(isQuarantined(CRASHING));
        }

        /** Guards against requests at one service that are rejected at another one. */
        @Test
        public void otherServicesAreNotConcerned() {
            for (int i = 1; i <= 3; i++) {
                end(i, CRASHING);
            }
            settle();
            assertEquals(
                    table.verdict(CRASHING, new ServiceName("ledger"), HashSet.of(V1)),
                    new Verdict.Clear());
        }
    }

    /** Requests that were under way at endpoints which others have crashed. */
    public static final class Bystanders extends Fixture {
        /** Guards against a batch of calls that is rejected for the one that has crashed it. */
        @Test
        public void requestsOfOneEndAreServedOnceItIsExplained() {
            end(1, CRASHING, SOUND);
            end(2, CRASHING);
            end(3, CRASHING, SOUND);
            settle();
            assertTrue(isQuarantined(CRASHING));
            assertClear(SOUND);
        }

        /** Guards against a request that is quarantined in the place of the one beside it. */
        @Test
        public void nothingIsDecidedWhileTwoRequestsWereAtAllEnds() {
            for (int i = 1; i <= 3; i++) {
                end(i, CRASHING, SOUND);
            }
            settle();
            assertFalse(isQuarantined(CRASHING));
            assertFalse(isQuarantined(SOUND));
            end(4, CRASHING);
            settle();
            assertTrue(isQuarantined(CRASHING));
            assertClear(SOUND);
        }

        /** Guards against several crashing requests that hide each other. */
        @Test
        public void severalCrashingRequestsAreFound() {
            RequestFingerprint other = new RequestFingerprint(3, 3);
            end(1, CRASHING, other);
            end(2, CRASHING);
            end(3, other);
            end(4, CRASHING);
            end(5, other);
            // The first end is explained by either of them, not by both.
            end(6, other);
            end(7, CRASHING);
            settle();
            assertTrue(isQuarantined(CRASHING));
            assertTrue(isQuarantined(other));
        }
    }

    /** Requests that are answered. */
    public static final class WholeResponses extends Fixture {
        /** Guards against sound requests that stay suspected. */
        @Test
        public void wholeResponseClears() {
            end(1, SOUND);
            end(2, SOUND);
            table.recordAnswer(key(SOUND, V1));
            assertClear(SOUND);
        }

        /** Guards against a popular request that is quarantined because it is everywhere. */
        @Test
        public void endsBetweenResponsesNeverAddUp() {
            for (int i = 0; i < 30; i++) {
                end(i, SOUND);
                scheduler.advance(Duration.ofMillis(600));
                table.recordAnswer(key(SOUND, V1));
                scheduler.advance(Duration.ofMillis(600));
                table.quarantineCertain();
                assertClear(SOUND);
            }
        }

        /** Guards against a popular request that is held up at each end of an endpoint. */
        @Test
        public void requestThatWasJustAnsweredIsNotHeldUp() {
            table.recordAnswer(key(SOUND, V1));
            end(1, SOUND);
            assertClear(SOUND);
        }

        /** Guards against reports of an older end that revive a suspicion. */
        @Test
        public void olderReportsAreVoid() {
            end(1, SOUND);
            Vector<SuspicionReport> old = table.strongest(10);
            scheduler.advance(Duration.ofSeconds(1));
            table.recordAnswer(key(SOUND, V1));
            assertTrue(table.merge(old).isEmpty());
            assertClear(SOUND);
        }
    }

    /** Endpoints that end without a request that crashes them. */
    public static final class Flaps extends Fixture {
        /**
         * Guards against requests that are blamed where endpoints crash all the time: each of ten
         * endpoints ends every 2 s in the mean, and a sound request of 1.5 s is tried again and
         * again, of which about half of the tries end with their endpoint.
         */
        @Test
        public void longRequestsAmongManyEndsAreNotBlamed() {
            Random random = new Random(1);
            for (int i = 0; i < 2_000; i++) {
                // A try and the settling take 3 s, in which the ten endpoints end 15 times.
                for (int other = 0; other < 15; other++) {
                    end(20 * i + other, new RequestFingerprint(20 * i + other, 9));
                }
                boolean ends = random.nextDouble() < 1 - Math.exp(-1.5 / 2);
                scheduler.advance(Duration.ofMillis(1_500));
                if (ends) {
                    table.recordEnd(
                            key(SOUND, V1), endpoint(20 * i + 19), Duration.ofMillis(1_500));
                } else {
                    table.recordAnswer(key(SOUND, V1));
                }
                settle();
                assertFalse(isQuarantined(SOUND), "after " + (i + 1) + " tries");
                table.removeExpired();
            }
        }

        /** Guards against requests that are blamed because they outlast every endpoint. */
        @Test
        public void requestThatNoEndpointLivesLongEnoughForIsNotBlamed() {
            for (int i = 0; i < 200; i++) {
                for (int other = 0; other < 9; other++) {
                    end(10 * i + other, new RequestFingerprint(10 * i + other, 9));
                }
                scheduler.advance(Duration.ofSeconds(2));
                table.recordEnd(key(SOUND, V1), endpoint(10 * i + 9), Duration.ofSeconds(8));
                table.quarantineCertain();
                assertFalse(isQuarantined(SOUND), "after " + (i + 1) + " tries");
            }
        }

        /** Guards against a crashing request that hides among a few other ends. */
        @Test
        public void crashingRequestAmongSomeEndsIsFound() {
            for (int i = 0; i < 4; i++) {
                end(100 + i, new RequestFingerprint(100 + i, 0));
                end(i, CRASHING);
                scheduler.advance(Duration.ofSeconds(2));
            }
            settle();
            assertTrue(isQuarantined(CRASHING));
        }
    }

    /** What is forgotten. */
    public static final class Forgetting extends Fixture {
        private void quarantine() {
            for (int i = 1; i <= 3; i++) {
                end(i, CRASHING);
            }
            settle();
            assertTrue(isQuarantined(CRASHING));
        }

        /** Guards against requests that are rejected for ever, or by all copies at once after. */
        @Test
        public void requestIsSuspectedAfterTheQuarantine() {
            quarantine();
            scheduler.advance(QuarantineTimes.QUARANTINE);
            assertTrue(verdict(CRASHING) instanceof Verdict.Suspected);
        }

        /** Guards against a request that may crash three endpoints again after each quarantine. */
        @Test
        public void oneFurtherEndQuarantinesAgain() {
            quarantine();
            scheduler.advance(QuarantineTimes.QUARANTINE);
            settle();
            assertFalse(isQuarantined(CRASHING));
            end(4, CRASHING);
            settle();
            assertTrue(isQuarantined(CRASHING));
        }

        /** Guards against requests that new software can run and that are still rejected. */
        @Test
        public void newSoftwareIsTriedByOneCopyAtATime() {
            quarantine();
            Verdict verdict = verdict(CRASHING, HashSet.of(V1, V2));
            assertEquals(((Verdict.Suspected) verdict).quarantinedAt(), HashSet.of(V1));
            assertTrue(verdict(CRASHING, HashSet.of(V2)) instanceof Verdict.Suspected);
        }

        /** Guards against a response of new software that lets a request crash the old one. */
        @Test
        public void responseOfNewSoftwareClearsOnlyThat() {
            quarantine();
            table.recordAnswer(key(CRASHING, V2));
            assertTrue(isQuarantined(CRASHING));
        }

        /** Guards against memory that grows with the ends of a day. */
        @Test
        public void everythingIsForgotten() {
            quarantine();
            end(9, SOUND);
            scheduler.advance(QuarantineTimes.MEMORY);
            table.removeExpired();
            assertTrue(table.isEmpty());
            assertClear(CRASHING);
        }
    }

    /** The size of the table. */
    public static final class Bounds extends Fixture {
        /** Guards against memory that callers decide on, and quarantines that they push out. */
        @Test
        public void quarantinesOutlastManySuspicions() {
            for (int i = 1; i <= 3; i++) {
                end(i, CRASHING);
            }
            settle();
            for (int i = 0; i < 3 * SuspicionStore.MAXIMUM_SUSPICIONS; i++) {
                end(1_000 + i, new RequestFingerprint(10_000 + i, 0));
            }
            int kept = table.strongest(Integer.MAX_VALUE).size();
            assertEquals(kept, SuspicionStore.MAXIMUM_SUSPICIONS);
            assertTrue(isQuarantined(CRASHING));
        }
    }
}
