package org.tamarackfold.node.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Calls that arrive late in the grace period of a planned stop, or that outlast it. */
public final class LateCallTest {
    private LateCallTest() {}

    private static final int GRACE_MILLIS = 3_000;

    private static final int ROUTE_TIMEOUT_MILLIS = 3_000;

    private static final String RELEASE =
            """
            version = 1
            [[routes]]
            name = "submit"
            host = "127.0.0.1"
            prefix = "/submit/"
            kind = "at_most_once"
            service = "ledger"
            timeout_ms = 3000
            [[routes]]
            name = "read"
            host = "127.0.0.1"
            prefix = "/read/"
            kind = "idempotent"
            service = "ledger"
            timeout_ms = 3000
            [[routes]]
            name = "stream"
            host = "127.0.0.1"
            prefix = "/stream/"
            kind = "resumable_stream"
            service = "ledger"
            timeout_ms = 3000
            [[services]]
            name = "ledger"
            slots = 200
            """;

    /** An entry host with a short grace period and an endpoint that works as long as it is told. */
    abstract static class Fixture extends PlannedStopTest.Fixture {
        TimedEndpoint timedEndpoint;
        long stopRequestedAtNanos;

        @Override
        void prepare() throws IOException {
            timedEndpoint = new TimedEndpoint();
        }

        @Override
        String release() {
            return RELEASE;
        }

        @Override
        Address endpointAddress() {
            return timedEndpoint.address();
        }

        @Override
        Duration shutdownGrace() {
            return Duration.ofMillis(GRACE_MILLIS);
        }

        @Override
        void requestStop() {
            stopRequestedAtNanos = System.nanoTime();
            super.requestStop();
        }

        /** Stops the endpoint, too. */
        @Override
        @AfterMethod(alwaysRun = true)
        public void stop() throws Exception {
            super.stop();
            timedEndpoint.close();
        }

        long millisSinceStop() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopRequestedAtNanos);
        }

        void sleepUntil(long millisAfterStop) throws InterruptedException {
            Thread.sleep(Math.max(0, millisAfterStop - millisSinceStop()));
        }

        static String request(String path, String callId, int timeoutMillis, int workMillis) {
            String body = Integer.toString(workMillis);
            return "POST "
                    + path
                    + " HTTP/1.1\r\nHost: 127.0.0.1\r\nCall-Id: "
                    + callId
                    + "\r\nCall-Deadline-Ms: "
                    + timeoutMillis
                    + "\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body;
        }

        /** Keeps the stopping host busy, so that it stays to the end of its grace period. */
        Thread keepBusy() {
            return Thread.ofVirtual()
                    .start(
                            () -> {
                                for (int i = 0; millisSinceStop() < GRACE_MILLIS; i++) {
                                    try (Socket socket = connect()) {
                                        send(socket, request("/read/", "busy" + i, 200, 50));
                                        readResponse(socket);
                                        Thread.sleep(100);
                                    } catch (IOException | InterruptedException e) {
                                        // The host has stopped.
                                        return;
                                    }
                                }
                            });
        }
    }

    /** One call near the end of the grace period. */
    public static final class SingleCalls extends Fixture {
        /** Guards against a call that is taken although it could outlast the host, and cut off. */
        @Test
        public void lateCallThatCouldOutlastTheHostIsRefused() throws Exception {
            requestStop();
            keepBusy();
            sleepUntil(1_700);
            try (Socket socket = connect()) {
                send(socket, request("/submit/", "late", ROUTE_TIMEOUT_MILLIS, 1_000));
                String response = readResponse(socket);
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
                assertTrue(response.contains("Retry-After: "), response);
                assertTrue(response.contains("Connection: close"), response);
            }
            assertEquals(timedEndpoint.timesReceived("late"), 0);
        }

        /** Guards against a refusal of late calls that are over in time. */
        @Test
        public void lateCallWithShortDeadlineIsAnswered() throws Exception {
            requestStop();
            keepBusy();
            sleepUntil(1_300);
            try (Socket socket = connect()) {
                send(socket, request("/submit/", "short", 300, 50));
                String response = readResponse(socket);
                assertTrue(response.endsWith("done"), response);
            }
        }

        /** Guards against a call that is cut off without an answer at the end of the grace. */
        @Test
        public void callThatOutlastsTheGraceIsAnsweredWithUnknownOutcome() throws Exception {
            try (Socket socket = connect()) {
                send(socket, request("/submit/", "long", ROUTE_TIMEOUT_MILLIS, 2_900));
                Thread.sleep(50);
                requestStop();
                String response = readResponse(socket);
                assertTrue(response.startsWith("HTTP/1.1 502"), response);
                assertTrue(millisSinceStop() > GRACE_MILLIS / 2, "ended " + millisSinceStop());
            }
            stop();
            assertTrue(timedEndpoint.wasAbandoned("long"));
        }

        /** Guards against a request whose body arrives after the end and is run nevertheless. */
        @Test
        public void requestWithHalfItsBodyIsRefusedAtTheEnd() throws Exception {
            try (Socket socket = connect()) {
                String request = request("/submit/", "half", ROUTE_TIMEOUT_MILLIS, 1_000);
                send(socket, request.substring(0, request.length() - 2));
                Thread.sleep(50);
                requestStop();
                String response = readResponse(socket);
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
            }
            stop();
            assertEquals(timedEndpoint.timesReceived("half"), 0);
        }

        /** Guards against calls that are taken on an open connection after the host has stopped. */
        @Test
        public void openConnectionIsClosedWhenTheHostHasStopped() throws Exception {
            try (Socket socket = connect()) {
                send(socket, request("/read/", "first", ROUTE_TIMEOUT_MILLIS, 0));
                assertTrue(readResponse(socket).endsWith("done"));
                requestStop();
                awaitStopped();
                assertEquals(socket.getInputStream().read(), -1);
            }
        }

        /** Guards against a second request on a connection that is closed after the first. */
        @Test
        public void pipelinedRequestsAreAnswered() throws Exception {
            requestStop();
            Thread.sleep(100);
            try (Socket socket = connect()) {
                send(
                        socket,
                        request("/submit/", "p1", ROUTE_TIMEOUT_MILLIS, 50)
                                + request("/submit/", "p2", ROUTE_TIMEOUT_MILLIS, 50));
                assertTrue(readResponse(socket).endsWith("done"));
                assertTrue(readResponse(socket).endsWith("done"));
            }
        }
    }

    /** Many calls at random moments of the grace period, on new and on open connections. */
    public static final class Sweep extends Fixture {
        private static final int CALLS = 200;

        private static final String LAST_CHUNK = "0\r\n\r\n";

        /** Longest time from sending a request to the end of the host that may lose it unread. */
        private static final int CROSSING_MILLIS = 200;

        /** Longest time until a response that the host has sent is read here. */
        private static final int ARRIVAL_MILLIS = 100;

        private static final String[] PATHS = {"/submit/", "/read/", "/stream/"};
        private static final int DIRECTORY_TIME_TO_LIVE_MILLIS = 300;

        /**
         * Calls sent until then must be served. Well before the addresses expire: a busy host reads
         * a call later than it was sent.
         */
        private static final int SOON_MILLIS = 300;

        /**
         * Calls sent from then on are late: the addresses have expired. The host counts from a
         * moment after the test has requested the stop.
         */
        private static final int LATE_MILLIS = 3 * DIRECTORY_TIME_TO_LIVE_MILLIS + 200;

        private static final int[] WORK_MILLIS = {0, 50, 300, 900, 2_500};
        private static final int[] TIMEOUT_MILLIS = {200, 700, ROUTE_TIMEOUT_MILLIS};

        private record PlannedCall(
                String id,
                String path,
                int arrivalMillis,
                int workMillis,
                int timeoutMillis,
                boolean openConnection) {}

        private record CallResult(
                PlannedCall call, long sentAtMillis, long endedAtMillis, String response) {
            /** The process ends when the host has stopped, and closes its connections. */
            boolean wasCut(long stoppedAtMillis) {
                return !response.startsWith("HTTP/1.1 ")
                        || endedAtMillis > stoppedAtMillis + ARRIVAL_MILLIS;
            }
        }

        @Override
        Duration directoryTimeToLive() {
            return Duration.ofMillis(DIRECTORY_TIME_TO_LIVE_MILLIS);
        }

        /** Provides the seeds of the sweep. */
        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1L}, {2L}, {3L}};
        }

        /** Guards against requests that are read during a stop and end without an answer. */
        @Test(dataProvider = "seeds")
        public void everyCallIsAnsweredOrRefusedUnsent(long seed) throws Exception {
            List<CallResult> results = run(plannedCalls(new Random(seed)));
            long stoppedAtMillis =
                    TimeUnit.NANOSECONDS.toMillis(stoppedAtNanos() - stopRequestedAtNanos);
            assertTrue(stoppedAtMillis < GRACE_MILLIS, "stopped after " + stoppedAtMillis);
            List<String> violations = new ArrayList<>();
            for (CallResult result : results) {
                String violation = violation(result, stoppedAtMillis);
                if (!violation.isEmpty()) {
                    violations.add(violation + ": " + result);
                }
            }
            assertTrue(violations.isEmpty(), String.join("\n", violations));
        }

        private static List<PlannedCall> plannedCalls(Random random) {
            List<PlannedCall> calls = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                calls.add(
                        new PlannedCall(
                                "c" + i,
                                PATHS[random.nextInt(PATHS.length)],
                                random.nextInt(GRACE_MILLIS),
                                WORK_MILLIS[random.nextInt(WORK_MILLIS.length)],
                                TIMEOUT_MILLIS[random.nextInt(TIMEOUT_MILLIS.length)],
                                random.nextBoolean()));
            }
            return calls;
        }

        /** Returns when all calls have ended and the host has stopped. */
        private List<CallResult> run(List<PlannedCall> calls) throws Exception {
            List<Future<CallResult>> futures = new ArrayList<>();
            try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
                List<Socket> sockets = new ArrayList<>();
                for (PlannedCall call : calls) {
                    sockets.add(call.openConnection() ? openConnection(call) : null);
                }
                requestStop();
                for (int i = 0; i < calls.size(); i++) {
                    PlannedCall call = calls.get(i);
                    Socket socket = sockets.get(i);
                    futures.add(executor.submit(() -> run(call, socket)));
                }
                awaitStopped();
            }
            List<CallResult> results = new ArrayList<>();
            for (Future<CallResult> future : futures) {
                results.add(future.get());
            }
            return results;
        }

        /** Opens a connection and uses it once. */
        private Socket openConnection(PlannedCall call) throws IOException {
            Socket socket = connect();
            send(socket, request("/read/", "warm-" + call.id(), ROUTE_TIMEOUT_MILLIS, 0));
            assertTrue(readResponse(socket).endsWith("done"));
            return socket;
        }

        private CallResult run(PlannedCall call, Socket openSocket) throws Exception {
            sleepUntil(call.arrivalMillis());
            long sentAtMillis = millisSinceStop();
            try (Socket socket = openSocket == null ? connect() : openSocket) {
                send(
                        socket,
                        request(call.path(), call.id(), call.timeoutMillis(), call.workMillis()));
                String response = readToEnd(socket, call);
                return new CallResult(call, sentAtMillis, millisSinceStop(), response);
            } catch (IOException e) {
                String failure = String.valueOf(e);
                return new CallResult(call, sentAtMillis, millisSinceStop(), failure);
            }
        }

        private static String readToEnd(Socket socket, PlannedCall call) throws IOException {
            String response = readResponse(socket);
            boolean stream = response.toLowerCase(Locale.ROOT).contains("chunked");
            if (!stream) {
                return response;
            }
            StringBuilder body = new StringBuilder();
            while (body.indexOf(LAST_CHUNK) < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return "broken stream of " + call.id();
                }
                body.append((char) next);
            }
            return response + body;
        }

        /** Returns which guarantee the result violates; empty for none. */
        private String violation(CallResult result, long stoppedAtMillis) {
            PlannedCall call = result.call();
            int timesReceived = timedEndpoint.timesReceived(call.id());
            boolean late = result.sentAtMillis() >= LATE_MILLIS;
            boolean soon = result.sentAtMillis() < SOON_MILLIS;
            boolean cut = result.wasCut(stoppedAtMillis);
            if (cut && timesReceived > 0 && !mayBeBrokenOff(result, late)) {
                return "cut off after it was sent to the endpoint";
            }
            if (cut
                    && timesReceived == 0
                    && result.sentAtMillis() < stoppedAtMillis - CROSSING_MILLIS) {
                return "cut off without an answer";
            }
            if (result.response().startsWith("HTTP/1.1 503") && timesReceived > 0) {
                return "refused although it was sent to the endpoint";
            }
            if (result.response().startsWith("HTTP/1.1 502") && late) {
                return "taken late and given up";
            }
            if (soon && call.timeoutMillis() >= 700 && call.workMillis() <= 50) {
                return result.response().startsWith("HTTP/1.1 200") ? "" : "early and not served";
            }
            return "";
        }

        /** Returns whether a stream may break off: at its deadline, or unless it was sent late. */
        private static boolean mayBeBrokenOff(CallResult result, boolean late) {
            PlannedCall call = result.call();
            boolean deadlinePassed =
                    result.endedAtMillis() - result.sentAtMillis() >= call.timeoutMillis();
            return call.path().equals("/stream/") && (!late || deadlinePassed);
        }
    }
}
