package org.tamarackfold.caller.http;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.tamarackfold.caller.StopSchedule;
import org.tamarackfold.metrics.HostMetrics;
import org.testng.annotations.Test;

/** The calls in progress of a host that stops. */
public final class ActiveCallsTest {
    private ActiveCallsTest() {}

    private static final long DEADLINE_NANOS = Duration.ofMillis(500).toNanos();

    /** The host closes its connections before the end of its grace, because it was quiet. */
    public static final class EarlyEnd {
        /**
         * Guards against a call that arrives between the last check for calls and the closing of
         * its connection: it was sent to an endpoint and then cut.
         */
        @Test
        public void noCallIsSentAfterAllHaveEnded() {
            ActiveCalls calls = new ActiveCalls(new HostMetrics());
            calls.startStop(0, new StopSchedule(0, Duration.ofSeconds(8), Duration.ofSeconds(3)));
            assertTrue(calls.maySend(0, 0, DEADLINE_NANOS), "refused too early");
            calls.endAll();
            assertFalse(calls.maySend(0, 0, DEADLINE_NANOS), "sent after the end");
        }
    }
}
