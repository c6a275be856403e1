package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.tamarackfold.peer.TurnHistory;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.Test;

/** Timeouts, event streams and turns of programs through an entry host. */
public final class StreamCallsTest {
    private StreamCallsTest() {}

    /** Timeouts of routes. */
    public static final class Timeouts extends CallFixture {
        /**
         * Guards against a response later than the timeout of the route when an endpoint is silent.
         */
        @Test
        public void silentEndpointTimesOutWithTheRoute() throws IOException {
            scriptAllEndpoints(new Step.Pause(3_000));
            long startedAtNanos = System.nanoTime();
            String response = entry.call("unsafe", "c1", "", "");
            long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
            assertTrue(response.startsWith("HTTP/1.1 504"), response);
            assertTrue(
                    elapsedMillis >= 750 && elapsedMillis < 1_300,
                    "timed out after " + elapsedMillis + " ms");
        }

        /**
         * Guards against a second timer for the same deadline. Timers have whole milliseconds, so
         * with a late body and a slow reservation, that of the attempt fired first for every second
         * call, which then ended as unknown, or was retried with 1 ms left.
         */
        @Test
        public void everyCallToASilentEndpointTimesOut() throws Exception {
            int calls = 40;
            entry.history.reservationDelay = Duration.ofMillis(5);
            List<Callable<String>> tasks = new ArrayList<>();
            for (int i = 0; i < calls; i++) {
                scriptAllEndpoints(new Step.Pause(3_000));
                String id = "c" + i;
                tasks.add(() -> callWithLateBody(id));
            }
            try (ExecutorService callers = Executors.newFixedThreadPool(8)) {
                for (Future<String> response : callers.invokeAll(tasks)) {
                    assertTrue(response.get().startsWith("HTTP/1.1 504"), response.get());
                }
            }
        }

        private String callWithLateBody(String id) throws Exception {
            String headers = PROGRAM_HEADERS + "Call-Deadline-Ms: 300\r\nConnection: close\r\n";
            String request = EntryFixture.request("turns", id, headers, "x");
            try (Socket socket = entry.connect()) {
                byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(bytes, 0, bytes.length - 1);
                Thread.sleep(3);
                socket.getOutputStream().write(bytes, bytes.length - 1, 1);
                return EntryFixture.readAll(socket.getInputStream());
            }
        }

        /** Guards against a stream that looks complete although it was aborted at the timeout. */
        @Test
        public void streamIsAbortedAtTheTimeout() throws IOException {
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(event(1)), new Step.Pause(3_000));
            String response = entry.call("stream", "c1", "", "");
            assertTrue(response.contains("word1"), response);
            assertFalse(response.endsWith("0\r\n\r\n"), response);
        }
    }

    /** Streams of server-sent events. */
    public static final class Streams extends CallFixture {
        /** Guards against events that reach the caller changed or out of order. */
        @Test
        public void eventsAreRelayed() throws IOException {
            scriptAllEndpoints(
                    new Step.Send(CHUNKED_HEAD),
                    chunk(event(1)),
                    chunk(event(2) + event(3)),
                    LAST_CHUNK);
            String response = entry.call("stream", "c1", "", "");
            assertTrue(response.indexOf("word1") < response.indexOf("word2"), response);
            assertTrue(response.endsWith("0\r\n\r\n"), response);
        }

        /**
         * Guards against a stream that looks complete although its endpoint closed the connection.
         */
        @Test
        public void truncatedStreamIsAborted() throws IOException {
            scriptAllEndpoints(
                    new Step.Send(CHUNKED_HEAD),
                    chunk(event(1)),
                    chunk("id: 2\nda"),
                    new Step.Close());
            String response = entry.call("stream", "c1", "", "");
            assertTrue(response.contains("word1"), response);
            assertFalse(response.contains("id: 2"), response);
            assertTrue(response.contains("Transfer-Encoding: chunked"), response);
            assertFalse(response.endsWith("0\r\n\r\n"), response);
        }

        /** Guards against aborting a complete stream that ends with an extra empty line. */
        @Test
        public void emptyLineAfterTheLastEventIsRelayed() throws IOException {
            scriptAllEndpoints(
                    new Step.Send(CHUNKED_HEAD), chunk(event(1) + event(2) + "\n"), LAST_CHUNK);
            String response = entry.call("stream", "c1", "", "");
            assertTrue(response.endsWith("\r\n0\r\n\r\n"), response);
            assertTrue(response.contains("word2\n\n\n") || response.contains("1\r\n\n\r\n"));
        }

        /** Guards against a stream that looks complete although its last event is incomplete. */
        @Test
        public void streamEndingInsideAnEventIsAborted() throws IOException {
            scriptAllEndpoints(
                    new Step.Send(CHUNKED_HEAD), chunk(event(1)), chunk("id: 2\n"), LAST_CHUNK);
            String response = entry.call("stream", "c1", "", "");
            assertFalse(response.endsWith("0\r\n\r\n"), response);
        }
    }

    /** Turns of agent programs: token budgets and turn histories. */
    public static final class Turns extends CallFixture {
        /** Guards against a history that lacks an input, or an output that the caller received. */
        @Test
        public void nextTurnReceivesTheHistory() throws IOException {
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(event(1) + event(2)), LAST_CHUNK);
            entry.call("turns", "t1", PROGRAM_HEADERS, "first input.");
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(event(3)), LAST_CHUNK);
            entry.call("turns", "t2", PROGRAM_HEADERS + "Parent-Call: t1\r\n", "second input.");
            boolean historyReceived =
                    entry.endpoints.stream()
                            .flatMap(endpoint -> endpoint.received().stream())
                            .anyMatch(
                                    request ->
                                            request.body()
                                                    .equals(
                                                            "first input.word1\nword2\nsecond input."));
            assertTrue(historyReceived, String.valueOf(entry.history.storedTurns));
        }

        /** Guards against completing a response whose turn is not stored durably. */
        @Test
        public void responseIsAbortedIfTheTurnIsNotStored() throws IOException {
            entry.history.storeSucceeds = false;
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(event(1)), LAST_CHUNK);
            String response = entry.call("turns", "t1", PROGRAM_HEADERS, "input");
            assertTrue(response.contains("word1"), response);
            assertFalse(response.endsWith("0\r\n\r\n"), response);
        }

        /** Guards against running a turn although the token budget is spent. */
        @Test
        public void turnDoesNotRunIfTheBudgetIsSpent() throws IOException {
            entry.history.reservationResult = new TurnHistory.Reservation.Exhausted();
            assertTrue(entry.call("turns", "t1", PROGRAM_HEADERS, "x").startsWith("HTTP/1.1 402"));
            assertEquals(entry.receivedCount(), 0);
        }

        /** Guards against a definite error, such as an absent turn, while the state is unknown. */
        @Test
        public void callIsRefusedIfTheReservationIsUnavailable() throws IOException {
            entry.history.reservationResult = new TurnHistory.Reservation.Unavailable("test");
            assertTrue(entry.call("turns", "t1", PROGRAM_HEADERS, "x").startsWith("HTTP/1.1 503"));
            assertEquals(entry.receivedCount(), 0);
        }

        /**
         * Guards against a refused turn that waits until its deadline for the history of its
         * parent, and against a settlement of a reservation that reached no storage host.
         */
        @Test
        public void turnIsRefusedAtOnceIfTheStorageHostsAreOverloaded() throws IOException {
            entry.history.reservationResult = new TurnHistory.Reservation.Refused("test");
            entry.history.answersLookups = false;
            String headers = PROGRAM_HEADERS + "Parent-Call: t0\r\n";
            assertTrue(entry.call("turns", "t1", headers, "x").startsWith("HTTP/1.1 503"));
            assertEquals(entry.receivedCount(), 0);
            assertEquals(entry.history.settlements, List.of());
        }

        /**
         * Guards against running a turn, or charging for it, when its parent turn does not exist.
         */
        @Test
        public void missingParentTurnIsNotFound() throws IOException {
            String headers = PROGRAM_HEADERS + "Parent-Call: none\r\n";
            assertTrue(entry.call("turns", "t1", headers, "x").startsWith("HTTP/1.1 404"));
            assertEquals(entry.history.settlements, List.of("t1=0"));
        }

        /**
         * Guards against a program that is told that its budget is spent after two turns that broke
         * off: a turn of which the caller received nothing uses no tokens, whatever became of it.
         */
        @Test
        public void turnWithoutDeliveredEventsUsesNoTokens() throws Exception {
            scriptAllEndpoints(new Step.Reset());
            scriptAllEndpoints(new Step.Reset());
            String lost = entry.call("turns", "t1", PROGRAM_HEADERS, "x");
            assertTrue(lost.startsWith("HTTP/1.1 502"), lost);
            lost = entry.call("turns", "t2", PROGRAM_HEADERS, "x");
            assertTrue(lost.startsWith("HTTP/1.1 502"), lost);
            assertSettled("t1=0", "t2=0");
        }

        /** Guards against charging a turn that timed out before its first event. */
        @Test
        public void silentTurnUsesNoTokens() throws Exception {
            scriptAllEndpoints(new Step.Pause(3_000));
            String headers = PROGRAM_HEADERS + "Call-Deadline-Ms: 200\r\n";
            String late = entry.call("turns", "t1", headers, "x");
            assertTrue(late.startsWith("HTTP/1.1 504"), late);
            assertSettled("t1=0");
        }

        /** Waits for the settlements, which follow the end of the connection. */
        private void assertSettled(String... settlements) throws InterruptedException {
            long deadlineNanos = System.nanoTime() + 2_000_000_000L;
            while (entry.history.settlements.size() < settlements.length
                    && System.nanoTime() < deadlineNanos) {
                Thread.sleep(10);
            }
            assertEquals(entry.history.settlements, List.of(settlements));
        }

        /** Guards against charging a turn for more than the events that its caller received. */
        @Test
        public void brokenTurnIsSettledAtItsDeliveredTokens() throws Exception {
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(event(1)), new Step.Reset());
            entry.call("turns", "t1", PROGRAM_HEADERS, "x");
            assertSettled("t1=5");
        }

        /** Guards against charging a turn whose caller leaves while it is being prepared. */
        @Test
        public void turnOfACallerThatLeavesEarlyUsesNoTokens() throws Exception {
            entry.history.reservationDelay = Duration.ofMillis(200);
            try (Socket socket = entry.connect()) {
                String request = EntryFixture.request("turns", "t1", PROGRAM_HEADERS, "x");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(50);
            }
            assertSettled("t1=0");
            assertEquals(entry.receivedCount(), 0);
        }

        /**
         * Guards against charging a finished turn its maximum tokens instead of the delivered ones.
         */
        @Test
        public void finishedTurnIsSettledAtItsDeliveredTokens() throws IOException {
            scriptAllEndpoints(new Step.Send(CHUNKED_HEAD), chunk(event(1) + event(2)), LAST_CHUNK);
            entry.call("turns", "t1", PROGRAM_HEADERS, "x");
            assertEquals(entry.history.settlements, List.of("t1=10"));
        }
    }
}
