package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.Test;

/** Streams that bring more tokens than were reserved for their turn. */
public final class ReservedTokensTest {
    private ReservedTokensTest() {}

    /** Turns of at most 20 tokens, at an endpoint whose events have 5 tokens each. */
    public static final class Turns extends CallFixture {
        private static final int RESERVED_EVENTS = 4;

        /** Long enough to receive a few events more than are reserved, well before the timeout. */
        private static final int EVENT_INTERVAL_MILLIS = 10;

        private static int eventCount(String response) {
            return response.split("data: ", -1).length - 1;
        }

        private Step endlessEvents() {
            return new Step.Repeat(
                    Integer.toHexString(event(1).length()) + "\r\n" + event(1) + "\r\n",
                    EVENT_INTERVAL_MILLIS);
        }

        /** Guards against a stream without end that spends several times the token budget. */
        @Test
        public void endlessStreamIsBrokenOffAtTheReservation() throws Exception {
            for (String route : new String[] {"stream", "turns"}) {
                scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), endlessEvents());
                long startedAtNanos = System.nanoTime();
                String response = entry.call(route, "c1", PROGRAM_HEADERS, "x");
                long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
                assertEquals(eventCount(response), RESERVED_EVENTS, response);
                assertFalse(response.endsWith("0\r\n\r\n"), response);
                assertTrue(elapsedMillis < 600, "ended after " + elapsedMillis + " ms");
            }
            assertSettled("c1=20", "c1=20");
            assertEquals(entry.history.storedTurns, List.of());
        }

        /** The turn is settled after its connection was closed. */
        private void assertSettled(String... settlements) throws InterruptedException {
            for (int i = 0; i < 100 && entry.history.settlements.size() < settlements.length; i++) {
                Thread.sleep(10);
            }
            assertEquals(entry.history.settlements, List.of(settlements));
        }

        /** Guards against events beyond the reservation that come in one packet. */
        @Test
        public void eventsInOnePacketAreCountedToo() throws IOException {
            String events = event(1).repeat(RESERVED_EVENTS + 2);
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(events), LAST_CHUNK);
            String response = entry.call("turns", "c1", PROGRAM_HEADERS, "x");
            assertEquals(eventCount(response), RESERVED_EVENTS, response);
            assertFalse(response.endsWith("0\r\n\r\n"), response);
        }

        /** Guards against breaking off a turn that uses all tokens of its reservation. */
        @Test
        public void wholeReservationMayBeUsed() throws IOException {
            scriptAllEndpoints(
                    new Step.Send(CHUNKED_HEAD),
                    chunk(event(1).repeat(RESERVED_EVENTS)),
                    LAST_CHUNK);
            String response = entry.call("turns", "c1", PROGRAM_HEADERS, "x");
            assertEquals(eventCount(response), RESERVED_EVENTS, response);
            assertTrue(response.endsWith("0\r\n\r\n"), response);
        }

        /** Guards against a limit for streams that reserve no tokens. */
        @Test
        public void streamsWithoutBudgetHaveNoLimit() throws IOException {
            int events = 3 * RESERVED_EVENTS;
            scriptAllEndpoints(
                    new Step.Send(CHUNKED_HEAD), chunk(event(1).repeat(events)), LAST_CHUNK);
            String response = entry.call("stream", "c1", "", "x");
            assertEquals(eventCount(response), events, response);
            assertTrue(response.endsWith("0\r\n\r\n"), response);
        }
    }
}
