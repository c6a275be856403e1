package org.tamarackfold.caller.http;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.EndpointTables;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Entry hosts whose endpoint limits the calls a second that it takes from all of them. */
public final class RateLimitTest {
    private RateLimitTest() {}

    /** Three entry hosts before one endpoint that limits its calls. */
    public static final class SharedEndpoint {
        private static final int HOSTS = 3;
        private static final double LIMIT_PER_SECOND = 2;

        /** Time in which every host has learned the limit, by the contract of the platform. */
        private static final int LEARNING_MILLIS = 3_000;

        private static final int WINDOW_MILLIS = 4_000;
        private static final int CALL_INTERVAL_MILLIS = 100;

        /** One and a half times what the limit allows, and five calls, in a window. */
        private static final int ALLOWED_CALLS =
                (int) (1.5 * LIMIT_PER_SECOND * WINDOW_MILLIS / 1_000) + 5;

        private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
        private final List<EntryFixture> hosts = new ArrayList<>();
        private ScriptedEndpoint endpoint;

        /** Starts the endpoint and the hosts. */
        @BeforeMethod
        public void start() throws IOException {
            endpoint = new ScriptedEndpoint();
            for (int i = 0; i < HOSTS; i++) {
                EndpointTable table = EndpointTables.ofHost("host-" + i, HOSTS);
                hosts.add(
                        new EntryFixture(
                                List.of(endpoint), table, 100_000, Duration.ofMillis(800)));
            }
        }

        /** Stops the callers, the hosts and the endpoint. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            callers.close();
            hosts.forEach(EntryFixture::close);
        }

        /**
         * Guards against an endpoint that receives far more calls than it stated to take, because
         * hosts do not read its limit or each uses it in full.
         */
        @Test
        public void allHostsTogetherKeepTheLimit() throws Exception {
            for (int i = 0; i < 1_000; i++) {
                endpoint.respond(
                        "200 OK",
                        CallFixture.SIGNATURE
                                + "\r\nCall-Id: c1\r\nRate-Limit: "
                                + LIMIT_PER_SECOND,
                        "served");
            }
            callFor(LEARNING_MILLIS);
            int before = endpoint.received().size();
            callFor(WINDOW_MILLIS);
            int calls = endpoint.received().size() - before;
            assertTrue(
                    calls <= ALLOWED_CALLS,
                    calls + " calls in a window, allowed are " + ALLOWED_CALLS);
            assertTrue(
                    calls >= LIMIT_PER_SECOND * WINDOW_MILLIS / 1_000 / 2,
                    calls + " calls in a window leave the endpoint idle");
        }

        private void callFor(int millis) throws InterruptedException {
            for (int elapsed = 0; elapsed < millis; elapsed += CALL_INTERVAL_MILLIS) {
                hosts.forEach(host -> callers.execute(() -> call(host)));
                Thread.sleep(CALL_INTERVAL_MILLIS);
            }
        }

        private static void call(EntryFixture host) {
            try {
                host.call("unsafe", "c1", "", "");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** An entry host, alone in its fleet, with two endpoints. */
    public static final class SingleHost extends CallFixture {
        private static final int CALLS = 20;

        /**
         * Calls that a limit of one a second admits within a moment: the first one, which learns
         * it, and those of the slots of the last 1.5 s.
         */
        private static final int ADMITTED_AT_ONCE = 3;

        private static String limited(String status, String headers, String limit) {
            return ScriptedEndpoint.completeResponse(
                    status, headers + "\r\nCall-Id: c1\r\nRate-Limit: " + limit, "");
        }

        private void scriptBoth(String response) {
            for (int i = 0; i < CALLS; i++) {
                scriptAllEndpoints(new Step.Send(response));
            }
        }

        private void assertBothAdmitFew() {
            for (ScriptedEndpoint endpoint : entry.endpoints) {
                int received = endpoint.received().size();
                assertTrue(received <= ADMITTED_AT_ONCE, received + " calls");
            }
        }

        /** Guards against attempts that are not counted because their endpoint rejected them. */
        @Test
        public void retriesAfterRejectionsCount() throws IOException {
            scriptBoth(limited("503 Busy", "Not-Run: 1", "1"));
            for (int i = 0; i < CALLS; i++) {
                entry.call("safe", "c1", "", "");
            }
            assertBothAdmitFew();
        }

        /** Guards against streams that are not counted. */
        @Test
        public void streamsCount() throws IOException {
            scriptBoth(limited("200 OK", SIGNATURE, "1"));
            for (int i = 0; i < CALLS; i++) {
                entry.call("stream", "c1", "", "");
            }
            assertBothAdmitFew();
        }

        /**
         * Guards against a call that waits for its deadline, or is answered as if it may have run,
         * although no endpoint would take it.
         */
        @Test
        public void aCallBeyondAllLimitsIsRefusedAtOnce() throws IOException {
            scriptBoth(limited("200 OK", SIGNATURE, "1"));
            for (int i = 0; i < CALLS; i++) {
                entry.call("unsafe", "c1", "", "");
            }
            int received = entry.receivedCount();
            long startedAtNanos = System.nanoTime();
            String response = entry.call("unsafe", "c1", "", "");
            long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
            if (entry.receivedCount() == received) {
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
                assertTrue(response.contains("Retry-After: "), response);
                assertTrue(elapsedMillis < 200, "refused after " + elapsedMillis + " ms");
            }
            assertBothAdmitFew();
        }

        /** Guards against refusing calls that an endpoint without a limit would take. */
        @Test
        public void anEndpointWithoutLimitTakesTheOtherCalls() throws IOException {
            for (int i = 0; i < CALLS; i++) {
                entry.endpoints.get(0).respond(new Step.Send(limited("200 OK", SIGNATURE, "0")));
                entry.endpoints.get(1).respond("200 OK", SIGNATURE + "\r\nCall-Id: c1", "");
            }
            for (int i = 0; i < CALLS; i++) {
                String response = entry.call("unsafe", "c1", "", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            int limitedCalls = entry.endpoints.get(0).received().size();
            assertTrue(limitedCalls <= ADMITTED_AT_ONCE, limitedCalls + " calls");
        }
    }
}
