package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointTables;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Endpoints that state in their responses that they are leaving. */
public final class LeavingTest {
    private LeavingTest() {}

    private static final String LEAVING = "Endpoint-Leaving: 1";
    private static final EndpointId ID = new EndpointId("engine-0");

    /** An entry host with one endpoint. */
    abstract static class SingleEndpoint extends CallFixture {
        @Override
        @BeforeMethod
        public void start() throws IOException {
            entry = new EntryFixture(1);
        }

        String call() throws IOException {
            return entry.call("unsafe", "c1", "", "");
        }

        /** Makes a call to which the endpoint responds; the connection may be reused after it. */
        String respond(String status, String headers) throws IOException {
            entry.endpoint().respond(status, headers + "\r\nCall-Id: c1", "");
            return call();
        }

        void leave() throws IOException {
            respond("200 OK", SIGNATURE + "\r\n" + LEAVING);
        }

        /** Checks that a call is refused and does not reach the endpoint. */
        void assertNotUsed() throws IOException {
            int before = entry.endpoint().received().size();
            String response = call();
            assertEquals(entry.endpoint().received().size(), before, "calls after the statement");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
        }

        void assertUsed() throws IOException {
            String response = respond("200 OK", SIGNATURE);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }

        EndpointRecord startedAt(long millis) {
            EndpointRecord record = entry.endpointTable.get(ID).get();
            return EntryFixture.startedAt(record, millis);
        }
    }

    /** Responses of all kinds that state it. */
    public static final class Statements extends SingleEndpoint {
        /** Guards against a statement that no host reads. */
        @Test
        public void successes() throws IOException {
            leave();
            assertNotUsed();
        }

        /** Guards against reading it from successful responses only. */
        @Test
        public void failures() throws IOException {
            respond("500 Failed", SIGNATURE + "\r\n" + LEAVING);
            assertNotUsed();
        }

        /** Guards against a rejection that only excludes the endpoint for its own call. */
        @Test
        public void rejections() throws IOException {
            respond("503 Busy", "Not-Run: 1\r\n" + LEAVING);
            assertNotUsed();
        }

        /** Guards against a stream that is read from its end only. */
        @Test
        public void headsOfStreams() throws Exception {
            String head = CHUNKED_HEAD.replace(SIGNATURE, SIGNATURE + "\r\n" + LEAVING);
            entry.endpoint()
                    .respond(new Step.Send(head), chunk(event(1)), new Step.Pause(400), LAST_CHUNK);
            CompletableFuture<String> stream =
                    CompletableFuture.supplyAsync(() -> uncheckedCall("stream", "s1"));
            Thread.sleep(200);
            assertNotUsed();
            String response = stream.get(3, TimeUnit.SECONDS);
            assertTrue(response.contains("word1") && response.endsWith("0\r\n\r\n"), response);
        }

        /** Guards against responses that end with their connection. */
        @Test
        public void responsesWithoutLength() throws IOException {
            String head = "HTTP/1.1 200 OK\r\n" + SIGNATURE + "\r\n" + LEAVING + "\r\n\r\n";
            entry.endpoint().respond(new Step.Send(head + "body"), new Step.Close());
            assertTrue(call().endsWith("body"));
            assertNotUsed();
        }

        /** Guards against a response whose body never ends, and one that breaks off. */
        @Test
        public void responsesThatBreakOff() throws IOException {
            String head = CHUNKED_HEAD.replace(SIGNATURE, SIGNATURE + "\r\n" + LEAVING);
            entry.endpoint().respond(new Step.Send(head + "5\r\nab"), new Step.Reset());
            call();
            assertNotUsed();
        }

        private String uncheckedCall(String route, String id) {
            try {
                return entry.call(route, id, "", "");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }

    /** Responses that do not state it. */
    public static final class OtherResponses extends SingleEndpoint {
        /** Guards against a late copy of the response to another call. */
        @Test
        public void lateCopies() throws IOException {
            String headers = SIGNATURE + "\r\nCall-Id: c0\r\n" + LEAVING;
            entry.endpoint().respond("200 OK", headers, "");
            call();
            assertUsed();
        }

        /** Guards against the statement of another endpoint that now has the address. */
        @Test
        public void misdirectedCalls() throws IOException {
            respond("421 Misdirected", "Not-Run: 1\r\n" + LEAVING);
            assertUsed();
        }

        /** Guards against values with another meaning. */
        @Test
        public void otherValues() throws IOException {
            for (String value : new String[] {"", "0", "no", "11"}) {
                respond("200 OK", SIGNATURE + "\r\nEndpoint-Leaving: " + value);
                assertUsed();
            }
        }
    }

    /** Registrations after the statement. */
    public static final class Registrations extends SingleEndpoint {
        /** Guards against a registration that is written again, still as ready. */
        @Test
        public void writtenAgain() throws IOException {
            leave();
            entry.endpointTable.put(startedAt(1));
            assertNotUsed();
        }

        /** Guards against a stale listing that has the registration after its removal. */
        @Test
        public void listedAfterRemoval() throws IOException {
            leave();
            EndpointRecord stale = startedAt(1);
            entry.endpointTable.remove(ID);
            entry.endpointTable.put(stale);
            assertNotUsed();
        }

        /** Guards against an endpoint that stays unused after it has started anew. */
        @Test
        public void startedAnew() throws IOException {
            leave();
            entry.endpointTable.put(startedAt(2));
            assertUsed();
            entry.endpointTable.put(startedAt(1));
            assertNotUsed();
        }

        /** Guards against a late response that is taken for one of the new start. */
        @Test
        public void responseOfAnEarlierStart() throws Exception {
            String response =
                    ScriptedEndpoint.completeResponse(
                            "200 OK", SIGNATURE + "\r\nCall-Id: c1\r\n" + LEAVING, "");
            entry.endpoint().respond(new Step.Pause(300), new Step.Send(response));
            Thread late = Thread.ofVirtual().start(this::callIgnoringErrors);
            Thread.sleep(150);
            entry.endpointTable.put(startedAt(2));
            late.join();
            assertUsed();
        }

        private void callIgnoringErrors() {
            try {
                call();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        /** Guards against a host that needs what it knew before its restart. */
        @Test
        public void hostStartedAnew() throws IOException {
            leave();
            try (EntryFixture restarted =
                    new EntryFixture(
                            entry.endpoints,
                            EndpointTables.ofSingleHost(),
                            100_000,
                            Duration.ofMillis(800))) {
                entry.endpoint().respond("200 OK", SIGNATURE + "\r\nCall-Id: c1", "");
                String response = restarted.call("unsafe", "c1", "", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
        }
    }

    /** Another endpoint beside the one that leaves. */
    public static final class TwoEndpoints extends CallFixture {
        private static final String HEADERS = SIGNATURE + "\r\nCall-Id: c1";

        private void bothLeave() throws IOException {
            scriptAllEndpoints("200 OK", HEADERS + "\r\n" + LEAVING, "");
            entry.call("unsafe", "c1", "", "");
            entry.call("unsafe", "c1", "", "");
        }

        /** Lets both endpoints leave, and the second one start anew; returns the second one. */
        private ScriptedEndpoint onlyTheFirstLeaves() throws IOException {
            bothLeave();
            EndpointId second = new EndpointId("engine-1");
            EndpointRecord record = entry.endpointTable.get(second).get();
            entry.endpointTable.put(EntryFixture.startedAt(record, 2));
            return entry.endpoints.get(1);
        }

        private void assertFirstIsNotUsed() {
            assertEquals(entry.endpoints.get(0).received().size(), 1, "calls to the first one");
        }

        /** Guards against an affinity key that leads calls to the endpoint that leaves. */
        @Test
        public void theOtherOneTakesAllCalls() throws IOException {
            ScriptedEndpoint other = onlyTheFirstLeaves();
            for (int i = 0; i < 10; i++) {
                other.respond("200 OK", HEADERS, "");
                String response = entry.call("safe", "c1", "Affinity: object-" + i + "\r\n", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            assertFirstIsNotUsed();
        }

        /** Guards against retries that try the endpoint that leaves. */
        @Test
        public void retriesDoNotReachIt() throws IOException {
            ScriptedEndpoint other = onlyTheFirstLeaves();
            for (int i = 0; i < 5; i++) {
                other.respond("503 Busy", "Call-Id: c1\r\nNot-Run: 1", "");
                String response = entry.call("safe", "c1", "", "");
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
            }
            assertFirstIsNotUsed();
        }

        /** Guards against calls that wait when all endpoints of a service leave. */
        @Test
        public void callsAreRefusedAtOnceWhenAllLeave() throws IOException {
            bothLeave();
            assertEquals(entry.receivedCount(), 2);
            long startedAtNanos = System.nanoTime();
            String response = entry.call("unsafe", "c1", "", "");
            long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(elapsedMillis < 400, elapsedMillis + " ms");
            assertEquals(entry.receivedCount(), 2);
        }
    }
}
