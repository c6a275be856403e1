package org.tamarackfold.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What a stopping entry host still sends to endpoints, and when it ends the rest. */
public final class StopScheduleTest {
    private StopScheduleTest() {}

    /** Close to the overflow of the clock, whose values are arbitrary. */
    private static final long REQUESTED_AT_NANOS = Long.MAX_VALUE - millis(1_000);

    private static StopSchedule schedule(long graceMillis, long addressLifetimeMillis) {
        return new StopSchedule(
                REQUESTED_AT_NANOS,
                Duration.ofMillis(graceMillis),
                Duration.ofMillis(addressLifetimeMillis));
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static boolean maySend(StopSchedule schedule, long nowMillis, long timeoutMillis) {
        long nowNanos = REQUESTED_AT_NANOS + millis(nowMillis);
        return schedule.maySend(nowNanos, nowNanos, nowNanos + millis(timeoutMillis));
    }

    /** Calls that are sent, and calls that are refused. */
    public static final class Admission {
        /** Guards against refusals of callers that may still use the address. */
        @Test
        public void callsWithinTheAddressLifetimeAreSent() {
            assertTrue(maySend(schedule(8_000, 3_000), 0, 300_000));
            assertTrue(maySend(schedule(8_000, 3_000), 2_999, 300_000));
        }

        /** Guards against calls refused because their preparation outlasts the address lifetime. */
        @Test
        public void callsThatArrivedInTimeAreSentLater() {
            StopSchedule schedule = schedule(8_000, 3_000);
            long arrivedNanos = REQUESTED_AT_NANOS + millis(2_999);
            long deadlineNanos = arrivedNanos + millis(300_000);
            assertTrue(schedule.maySend(arrivedNanos, arrivedNanos + millis(500), deadlineNanos));
            assertFalse(
                    schedule.maySend(
                            arrivedNanos, REQUESTED_AT_NANOS + millis(7_100), deadlineNanos));
        }

        /** Guards against late calls that are sent although they could outlast the host. */
        @Test
        public void lateCallsAreSentOnlyIfTheirDeadlineIsInTime() {
            StopSchedule schedule = schedule(8_000, 3_000);
            assertFalse(maySend(schedule, 3_000, 5_000));
            assertTrue(maySend(schedule, 3_000, 4_100));
            assertFalse(maySend(schedule, 3_000, 4_101));
            assertTrue(maySend(schedule, 7_000, 100));
            assertFalse(maySend(schedule, 7_000, 101));
        }

        /** Guards against calls that are sent after the final responses. */
        @Test
        public void nothingIsSentOnceTheFinalResponsesAreDue() {
            assertFalse(maySend(schedule(8_000, 3_000), 7_100, 0));
            assertFalse(maySend(schedule(8_000, 3_000), 9_000, 0));
        }

        /** Guards against an address lifetime that outlasts the grace. */
        @Test
        public void inAShortGraceOnlyTheFirstHalfIsUnrestricted() {
            StopSchedule schedule = schedule(2_900, 30_000);
            assertTrue(maySend(schedule, 999, 300_000));
            assertFalse(maySend(schedule, 1_000, 1_001));
            assertTrue(maySend(schedule, 1_000, 1_000));
        }

        /** Guards against a grace that is shorter than the margins. */
        @Test
        public void withoutTimeNothingIsSent() {
            assertFalse(maySend(schedule(100, 3_000), 0, 1));
        }
    }

    /** The end of the grace, and an earlier end. */
    public static final class End {
        /** Guards against responses that are cut, and against calls ended sooner than needed. */
        @Test
        public void finalResponsesAreDueShortlyBeforeTheClose() {
            StopSchedule schedule = schedule(8_000, 3_000);
            assertEquals(schedule.finalResponseNanos(), REQUESTED_AT_NANOS + millis(7_100));
            assertEquals(schedule.closeNanos(), REQUESTED_AT_NANOS + millis(7_300));
        }

        /** Guards against a host that leaves while callers may still use its address. */
        @Test
        public void anIdleHostStaysForTheAddressLifetime() {
            StopSchedule schedule = schedule(8_000, 3_000);
            long expiryNanos = REQUESTED_AT_NANOS + millis(3_000);
            assertEquals(schedule.quietNanos(REQUESTED_AT_NANOS), expiryNanos);
            assertEquals(
                    schedule.quietNanos(REQUESTED_AT_NANOS + millis(2_500)),
                    expiryNanos + millis(700));
        }
    }
}
