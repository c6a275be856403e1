package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tamarackfold.peer.TurnHistory;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Calls through an entry host whose callers and endpoints misbehave at any byte. */
public final class CallHandlerTest {
    private CallHandlerTest() {}

    private static final String SIGNED = "Answer-Signature: sig";
    private static final String PROGRAM =
            "Program-Id: p1\r\nProgram-Token-Budget: 100\r\nToken-Usage: 10,20\r\n";
    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nAnswer-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static Step chunk(String text) {
        return new Step.Send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: word" + id + "\n\n";
    }

    private static final Step LAST_CHUNK = new Step.Send("0\r\n\r\n");

    /** An entry host with two endpoints. */
    abstract static class Fixture {
        EntryFixture entry;

        /** Starts the hosts. */
        @BeforeMethod
        public void start() throws IOException {
            entry = new EntryFixture(2);
        }

        /** Stops the hosts. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            entry.close();
        }

        /** Gives the same answer at both endpoints, because either may be chosen. */
        void answerAnywhere(Step... steps) {
            entry.endpoints.forEach(endpoint -> endpoint.answer(steps));
        }

        void answerAnywhere(String status, String headers, String body) {
            answerAnywhere(new Step.Send(ScriptedEndpoint.whole(status, headers, body)));
        }

        ScriptedEndpoint.Received onlyArrival() {
            List<ScriptedEndpoint.Received> all =
                    entry.endpoints.stream().flatMap(e -> e.received().stream()).toList();
            assertEquals(all.size(), 1);
            return all.getFirst();
        }
    }

    /** Answers of endpoints that are in order. */
    public static final class Relaying extends Fixture {
        /** Guards against an answer that reaches the caller changed. */
        @Test
        public void statusHeadersAndBodyAreUnchanged() throws IOException {
            answerAnywhere("201 Created", SIGNED + "\r\nX-Other: 1", "hello");
            String answer = entry.call("unsafe", "c1", "", "input");
            assertTrue(answer.startsWith("HTTP/1.1 201"), answer);
            assertTrue(answer.contains("Answer-Signature: sig"), answer);
            assertTrue(answer.contains("X-Other: 1"), answer);
            assertTrue(answer.endsWith("\r\n\r\nhello"), answer);
            assertEquals(onlyArrival().body(), "input");
        }

        /** Guards against headers by which a caller would steer an endpoint. */
        @Test
        public void headersOfTheSystemAreReplaced() throws IOException {
            answerAnywhere("200 OK", SIGNED, "ok");
            entry.call("unsafe", "c1", "Expected-Endpoint: forged\r\n", "");
            assertTrue(onlyArrival().header("Expected-Endpoint").startsWith("engine-"));
        }

        /** Guards against an endpoint that works longer than the caller waits. */
        @Test
        public void deadlineIsWhatIsLeft() throws IOException {
            answerAnywhere("200 OK", SIGNED, "ok");
            entry.call("unsafe", "c1", "Call-Deadline-Ms: 500\r\n", "");
            int left = Integer.parseInt(onlyArrival().header("Call-Deadline-Ms"));
            assertTrue(left > 200 && left <= 500, "left " + left);
        }

        /** Guards against connections that are not reused. */
        @Test
        public void connectionsAreReused() throws IOException {
            EntryFixture single = new EntryFixture(1);
            try (single) {
                for (int i = 0; i < 5; i++) {
                    single.endpoint().answer("200 OK", SIGNED, "ok" + i);
                    assertTrue(single.call("unsafe", "c" + i, "", "").endsWith("ok" + i));
                }
            }
        }
    }

    /** Connections that an endpoint treats otherwise than a request for each answer. */
    public static final class Connections {
        /** More than the socket buffers of both sides hold. */
        private static final int LONG_BODY_BYTES = 12_000_000;

        private EntryFixture entry;

        /** Starts an entry host with one endpoint, so that a kept connection is used again. */
        @BeforeMethod
        public void start() throws IOException {
            entry = new EntryFixture(1, LONG_BODY_BYTES);
        }

        /** Stops the hosts. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            entry.close();
        }

        /**
         * Guards against a request that stands where the endpoint still reads the body of the
         * request before, which it has answered early.
         */
        @Test
        public void earlyAnswerEndsTheConnection() throws IOException {
            entry.endpoint()
                    .answerBeforeBody(
                            new Step.Send(ScriptedEndpoint.whole("200 OK", SIGNED, "early")),
                            new Step.Pause(100))
                    .answer("200 OK", SIGNED, "second");
            String body = "b".repeat(LONG_BODY_BYTES);
            assertTrue(entry.call("unsafe", "c1", "", body).endsWith("early"));
            assertTrue(entry.call("unsafe", "c2", "", "input").endsWith("second"));
            List<ScriptedEndpoint.Received> second =
                    entry.endpoint().received().stream()
                            .filter(request -> request.header("Call-Id").equals("c2"))
                            .toList();
            assertEquals(second.size(), 1);
            String head = second.getFirst().head();
            assertTrue(head.startsWith("POST /unsafe/x HTTP/1.1\r\n"), head);
            assertEquals(second.getFirst().body(), "input");
        }

        /** Guards against losing an answer that arrives while its request is still being sent. */
        @Test
        public void earlyAnswerIsRelayedWhole() throws IOException {
            String answer = "a".repeat(200_000);
            entry.endpoint()
                    .answerBeforeBody(
                            new Step.Send(ScriptedEndpoint.whole("200 OK", SIGNED, answer)),
                            new Step.Pause(100));
            String body = "b".repeat(LONG_BODY_BYTES);
            assertTrue(entry.call("unsafe", "c1", "", body).endsWith("\r\n\r\n" + answer));
        }

        /** Guards against sending a call on a connection that was closed while it was idle. */
        @Test
        public void connectionClosedWhileIdleIsNotUsed() throws Exception {
            entry.endpoint()
                    .answer(
                            new Step.Send(ScriptedEndpoint.whole("200 OK", SIGNED, "first")),
                            new Step.Pause(20),
                            new Step.Close())
                    .answer("200 OK", SIGNED, "second");
            assertTrue(entry.call("unsafe", "c1", "", "").endsWith("first"));
            Thread.sleep(200);
            assertTrue(entry.call("unsafe", "c2", "", "").endsWith("second"));
        }

        /** Guards against a second run of a call under which a kept connection was closed. */
        @Test
        public void connectionClosedUnderACallIsNoRefusal() throws IOException {
            entry.endpoint()
                    .answer("200 OK", SIGNED, "first")
                    .answer(new Step.Reset())
                    .answer("200 OK", SIGNED, "again");
            assertTrue(entry.call("unsafe", "c1", "", "").endsWith("first"));
            assertTrue(entry.call("unsafe", "c2", "", "").startsWith("HTTP/1.1 502"));
            assertEquals(entry.arrivals(), 2);
        }
    }

    /** Endpoints that break the protocol. */
    public static final class BrokenAnswers extends Fixture {
        /** Guards against a truncated answer that looks complete. */
        @Test
        public void truncatedAnswerIsNoSuccess() throws IOException {
            answerAnywhere(
                    new Step.Send(
                            "HTTP/1.1 200 OK\r\n" + SIGNED + "\r\nContent-Length: 9\r\n\r\nab"),
                    new Step.Close());
            assertTrue(entry.call("unsafe", "c1", "", "").startsWith("HTTP/1.1 502"));
        }

        /** Guards against a reset that ends an answer without length as if it were complete. */
        @Test
        public void resetAnswerWithoutLengthIsNoSuccess() throws IOException {
            answerAnywhere(
                    new Step.Send("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n\r\npart"),
                    new Step.Pause(50),
                    new Step.Reset());
            assertTrue(entry.call("unsafe", "c1", "", "").startsWith("HTTP/1.1 502"));
        }

        /** Guards against losing a whole answer that ends with its connection. */
        @Test
        public void closedAnswerWithoutLengthIsComplete() throws IOException {
            answerAnywhere(
                    new Step.Send("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n\r\nwhole"),
                    new Step.Close());
            assertTrue(entry.call("unsafe", "c1", "", "").endsWith("whole"));
        }

        /** Guards against bytes that are no answer reaching the caller. */
        @Test
        public void garbageIsNoAnswer() throws IOException {
            answerAnywhere(new Step.Send("garbage without sense\r\n\r\n"), new Step.Close());
            String answer = entry.call("unsafe", "c1", "", "");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertFalse(answer.contains("garbage"));
        }

        /** Guards against an answer that belongs to another call. */
        @Test
        public void answerOfAnotherCallIsDropped() throws IOException {
            answerAnywhere("200 OK", SIGNED + "\r\nCall-Id: other", "secret");
            String answer = entry.call("unsafe", "c1", "", "");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertFalse(answer.contains("secret"));
        }

        /** Guards against a second answer on a connection being taken for the next call's. */
        @Test
        public void extraAnswerIsNotGivenToTheNextCall() throws IOException {
            try (EntryFixture single = new EntryFixture(1)) {
                String first = ScriptedEndpoint.whole("200 OK", SIGNED + "\r\nCall-Id: c1", "one");
                single.endpoint().answer(new Step.Send(first + first));
                assertTrue(single.call("unsafe", "c1", "", "").endsWith("one"));
                single.endpoint().answer("200 OK", SIGNED + "\r\nCall-Id: c2", "two");
                String second = single.call("unsafe", "c2", "", "");
                assertFalse(second.endsWith("one"), second);
            }
        }

        /** Guards against a second run of a call that may have run. */
        @Test
        public void callThatMayHaveRunIsNotSentAgain() throws IOException {
            answerAnywhere(new Step.Reset());
            assertTrue(entry.call("unsafe", "c1", "", "").startsWith("HTTP/1.1 502"));
            assertEquals(entry.arrivals(), 1);
        }

        /** Guards against giving up an idempotent call at its first failure. */
        @Test
        public void idempotentCallIsSentAgain() throws IOException {
            entry.endpoints.forEach(e -> e.answer(new Step.Reset()));
            String answer = entry.call("safe", "c1", "", "");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(entry.arrivals(), 2);
        }
    }

    /** Endpoints that reject calls. */
    public static final class Rejections extends Fixture {
        /** Guards against refusing a call while another endpoint can run it. */
        @Test
        public void fullEndpointLeadsToTheOther() throws IOException {
            entry.endpoints.get(0).answer("503 Busy", "Not-Run: 1", "");
            entry.endpoints.get(1).answer("503 Busy", "Not-Run: 1", "");
            String answer = entry.call("unsafe", "c1", "", "");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("Retry-After: 0."), answer);
            assertEquals(entry.arrivals(), 2);
        }

        /** Guards against running a call at an endpoint that has taken over an address. */
        @Test
        public void misdirectedCallIsSentElsewhere() throws IOException {
            answerAnywhere("421 Misdirected", "", "");
            assertTrue(entry.call("unsafe", "c1", "", "").startsWith("HTTP/1.1 503"));
            assertEquals(entry.arrivals(), 2);
        }

        /** Guards against a refusal of a call whose error came from an endpoint that ran it. */
        @Test
        public void errorOfTheEndpointIsRelayed() throws IOException {
            answerAnywhere("500 Failed", SIGNED, "no");
            assertTrue(entry.call("unsafe", "c1", "", "").startsWith("HTTP/1.1 500"));
            assertEquals(entry.arrivals(), 1);
        }
    }

    /** Callers that break the protocol. */
    public static final class BrokenCallers extends Fixture {
        /** Guards against a request hidden in the body of another one. */
        @Test
        public void ambiguousLengthIsRejected() throws IOException {
            String smuggled = EntryFixture.request("unsafe", "hidden", "", "");
            String answer =
                    entry.exchange(
                            "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nCall-Id: c1\r\n"
                                    + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "0\r\n\r\n"
                                    + smuggled);
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
            assertEquals(entry.arrivals(), 0);
        }

        /** Guards against memory taken by bodies beyond the limit of the release. */
        @Test
        public void bodyOverTheLimitIsRejected() throws IOException {
            String answer =
                    entry.exchange(
                            "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nCall-Id: c1\r\n"
                                    + "Content-Length: 200000\r\nConnection: close\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 413"), answer);
        }

        /** Guards against a call without id, which could not be matched to its answer. */
        @Test
        public void callWithoutIdIsRejected() throws IOException {
            String answer =
                    entry.exchange(
                            "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        }

        /** Guards against an answer to a path that no route has. */
        @Test
        public void unknownRouteIsNotFound() throws IOException {
            assertTrue(entry.call("other", "c1", "", "").startsWith("HTTP/1.1 404"));
        }

        /** Guards against a chunked body that reaches the endpoint in part. */
        @Test
        public void chunkedBodyIsForwardedWhole() throws IOException {
            answerAnywhere("200 OK", SIGNED, "ok");
            entry.exchange(
                    "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nCall-Id: c1\r\n"
                            + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                            + "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
            assertEquals(onlyArrival().body(), "abcdefg");
        }

        /** Guards against work for a caller that has left. */
        @Test
        public void callOfACallerThatLeftIsCancelled() throws Exception {
            answerAnywhere(new Step.Pause(2_000));
            try (Socket socket = entry.connect()) {
                socket.getOutputStream()
                        .write(
                                EntryFixture.request("stream", "c1", "", "x")
                                        .getBytes(StandardCharsets.ISO_8859_1));
                waitUntil(() -> entry.arrivals() == 1);
            }
            waitUntil(() -> entry.endpoints.stream().anyMatch(e -> e.closedByPeer() == 1));
        }

        /** Guards against mixing up pipelined requests. */
        @Test
        public void pipelinedRequestsAreAnsweredInOrder() throws IOException {
            entry.endpoints.forEach(e -> e.answer("200 OK", SIGNED, "ok"));
            entry.endpoints.forEach(e -> e.answer("200 OK", SIGNED, "ok"));
            String answers =
                    entry.exchange(
                            EntryFixture.request("unsafe", "c1", "", "one")
                                    + EntryFixture.request(
                                            "unsafe", "c2", "Connection: close\r\n", "two"));
            assertEquals(answers.split("HTTP/1.1 200", -1).length - 1, 2, answers);
        }

        private static void waitUntil(java.util.function.BooleanSupplier condition)
                throws InterruptedException {
            long end = System.nanoTime() + 3_000_000_000L;
            while (!condition.getAsBoolean()) {
                assertTrue(System.nanoTime() < end, "condition does not hold in time");
                Thread.sleep(10);
            }
        }
    }

    /** Time limits. */
    public static final class Deadlines extends Fixture {
        /** Guards against an answer later than the timeout of the route. */
        @Test
        public void silentEndpointIsReportedAtTheTimeoutOfTheRoute() throws IOException {
            answerAnywhere(new Step.Pause(3_000));
            long startedAt = System.nanoTime();
            String answer = entry.call("unsafe", "c1", "", "");
            long millis = (System.nanoTime() - startedAt) / 1_000_000;
            assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
            assertTrue(millis >= 750 && millis < 1_300, "after " + millis + " ms");
        }

        /** Guards against a stream that ends as if complete when its time is over. */
        @Test
        public void unfinishedStreamIsBrokenOff() throws IOException {
            answerAnywhere(new Step.Send(CHUNKED_HEAD), chunk(event(1)), new Step.Pause(3_000));
            String answer = entry.call("stream", "c1", "", "");
            assertTrue(answer.contains("word1"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }
    }

    /** Event streams. */
    public static final class Streams extends Fixture {
        /** Guards against events that reach the caller changed or out of order. */
        @Test
        public void eventsAreRelayed() throws IOException {
            answerAnywhere(
                    new Step.Send(CHUNKED_HEAD),
                    chunk(event(1)),
                    chunk(event(2) + event(3)),
                    LAST_CHUNK);
            String answer = entry.call("stream", "c1", "", "");
            assertTrue(answer.indexOf("word1") < answer.indexOf("word2"), answer);
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
        }

        /** Guards against a stream that breaks off and looks complete. */
        @Test
        public void brokenStreamIsBrokenOff() throws IOException {
            answerAnywhere(
                    new Step.Send(CHUNKED_HEAD),
                    chunk(event(1)),
                    chunk("id: 2\nda"),
                    new Step.Close());
            String answer = entry.call("stream", "c1", "", "");
            assertTrue(answer.contains("word1"), answer);
            assertFalse(answer.contains("id: 2"), answer);
            assertTrue(answer.contains("Transfer-Encoding: chunked"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }

        /** Guards against an event that is cut at the end of a stream. */
        @Test
        public void streamThatEndsInsideAnEventIsBrokenOff() throws IOException {
            answerAnywhere(
                    new Step.Send(CHUNKED_HEAD), chunk(event(1)), chunk("id: 2\n"), LAST_CHUNK);
            String answer = entry.call("stream", "c1", "", "");
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }
    }

    /** Turns of programs. */
    public static final class Turns extends Fixture {
        /** Guards against a history that does not end with what the caller received. */
        @Test
        public void nextTurnContainsInputsAndOutputs() throws IOException {
            answerAnywhere(new Step.Send(CHUNKED_HEAD), chunk(event(1) + event(2)), LAST_CHUNK);
            entry.call("turns", "t1", PROGRAM, "first input.");
            answerAnywhere(new Step.Send(CHUNKED_HEAD), chunk(event(3)), LAST_CHUNK);
            entry.call("turns", "t2", PROGRAM + "Parent-Call: t1\r\n", "second input.");
            boolean found =
                    entry.endpoints.stream()
                            .flatMap(e -> e.received().stream())
                            .anyMatch(
                                    r ->
                                            r.body()
                                                    .equals(
                                                            "first input.word1\nword2\nsecond input."));
            assertTrue(found, String.valueOf(entry.history.stored));
        }

        /** Guards against an answer that is whole before the turn is durable. */
        @Test
        public void answerIsNotWholeWhenTheTurnIsNotStored() throws IOException {
            entry.history.storing = false;
            answerAnywhere(new Step.Send(CHUNKED_HEAD), chunk(event(1)), LAST_CHUNK);
            String answer = entry.call("turns", "t1", PROGRAM, "input");
            assertTrue(answer.contains("word1"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }

        /** Guards against a turn that runs although the budget is spent. */
        @Test
        public void spentBudgetIsReportedWithoutARun() throws IOException {
            entry.history.nextReservation = new TurnHistory.Reservation.Exhausted();
            assertTrue(entry.call("turns", "t1", PROGRAM, "x").startsWith("HTTP/1.1 402"));
            assertEquals(entry.arrivals(), 0);
        }

        /** Guards against calling a turn absent while this cannot be known. */
        @Test
        public void uncertainStateIsARefusal() throws IOException {
            entry.history.nextReservation = new TurnHistory.Reservation.Unavailable("test");
            assertTrue(entry.call("turns", "t1", PROGRAM, "x").startsWith("HTTP/1.1 503"));
            assertEquals(entry.arrivals(), 0);
        }

        /** Guards against a turn that continues from one that does not exist. */
        @Test
        public void unknownParentIsNotFound() throws IOException {
            String headers = PROGRAM + "Parent-Call: none\r\n";
            assertTrue(entry.call("turns", "t1", headers, "x").startsWith("HTTP/1.1 404"));
            assertEquals(entry.history.settled, List.of("t1=0"));
        }

        /** Guards against a budget that counts a turn at its most after it has ended. */
        @Test
        public void finishedTurnIsSettledAtItsTokens() throws IOException {
            answerAnywhere(new Step.Send(CHUNKED_HEAD), chunk(event(1) + event(2)), LAST_CHUNK);
            entry.call("turns", "t1", PROGRAM, "x");
            assertEquals(entry.history.settled, List.of("t1=10"));
        }
    }
}
