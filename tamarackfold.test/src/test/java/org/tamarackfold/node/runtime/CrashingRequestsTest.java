package org.tamarackfold.node.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamarackfold.daemon.soak.http.LoopbackProxy.Condition;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.SoftwareVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests under which endpoints end, at hosts that share these endpoints. */
public final class CrashingRequestsTest {
    private CrashingRequestsTest() {}

    /** Three hosts before three endpoints of a service. */
    abstract static class Fixture {
        static final int HOSTS = 3;
        static final int TIMEOUT_MILLIS = 2_500;

        /** How long an endpoint works on a call; the test ends it long before. */
        static final int WORK_MILLIS = 2_000;

        /** The time within which all hosts must know what one of them does. */
        static final int CONTACT_MILLIS = 3_000;

        /** Longer than any wait before another copy is tried. */
        static final int HOLD_MILLIS = 3_300;

        final AtomicInteger callCount = new AtomicInteger();
        final AtomicInteger startCount = new AtomicInteger();
        LinkedHosts hosts;
        ExecutorService callers;

        /** Starts the hosts. */
        @BeforeMethod
        public void start() throws Exception {
            callers = Executors.newVirtualThreadPerTaskExecutor();
            hosts = new LinkedHosts();
            for (int i = 0; i < HOSTS; i++) {
                hosts.startHost();
            }
        }

        /** Stops hosts and endpoints. */
        @AfterMethod(alwaysRun = true)
        public void stop() throws Exception {
            hosts.close();
            callers.shutdownNow();
        }

        String newId() {
            return "c" + callCount.incrementAndGet();
        }

        Future<LinkedHosts.Result> send(int host, String path, String id) {
            return callers.submit(
                    () ->
                            path.startsWith("/stream/")
                                    ? stream(host, path, id)
                                    : hosts.call(host, path, id, TIMEOUT_MILLIS, WORK_MILLIS));
        }

        /** Reads a stream to its end; a caller that leaves before shows nothing. */
        private LinkedHosts.Result stream(int host, String path, String id) {
            try (Socket socket = hosts.connect(host)) {
                PlannedStopTest.Fixture.send(
                        socket,
                        LateCallTest.Fixture.request(path, id, TIMEOUT_MILLIS, WORK_MILLIS));
                String text = LinkedHosts.readUntilLastChunk(socket.getInputStream());
                return new LinkedHosts.Result(id, 200, text, 0);
            } catch (IOException e) {
                return new LinkedHosts.Result(id, 0, "", 0);
            }
        }

        TimedEndpoint awaitReceived(String id) throws InterruptedException {
            for (int i = 0; i < 200 && hosts.timesReceived(id) == 0; i++) {
                Thread.sleep(10);
            }
            return hosts.endpointOf(id);
        }

        /** Sends a copy of a request and ends each endpoint that runs it; they start again. */
        LinkedHosts.Result crash(int host, String path) throws Exception {
            String id = newId();
            Future<LinkedHosts.Result> call = send(host, path, id);
            Set<TimedEndpoint> ended = new HashSet<>();
            while (!call.isDone()) {
                for (TimedEndpoint endpoint : hosts.endpoints) {
                    if (endpoint.timesReceived(id) > 0 && ended.add(endpoint)) {
                        hosts.crash(endpoint);
                        callers.submit(() -> restart(endpoint));
                    }
                }
                Thread.sleep(5);
            }
            return call.get();
        }

        private Void restart(TimedEndpoint endpoint) throws Exception {
            Thread.sleep(400);
            hosts.restart(endpoint, startCount.incrementAndGet());
            return null;
        }

        /** Lets three endpoints end under copies that different hosts send. */
        void crashThree(String path) throws Exception {
            for (int i = 0; i < 3; i++) {
                crash(i % HOSTS, path);
                Thread.sleep(HOLD_MILLIS);
            }
            Thread.sleep(CONTACT_MILLIS);
        }

        void assertRejected(int host, String path) throws Exception {
            String id = newId();
            LinkedHosts.Result result = hosts.call(host, path, id, TIMEOUT_MILLIS, WORK_MILLIS);
            assertEquals(result.status(), 503, "host " + host);
            assertTrue(result.body().contains("quarantined"), result.body());
            assertTrue(result.millis() < 500, "answered after " + result.millis() + " ms");
            assertEquals(hosts.timesReceived(id), 0);
        }

        void assertServed(int host, String path, int workMillis) {
            LinkedHosts.Result result = hosts.call(host, path, newId(), TIMEOUT_MILLIS, workMillis);
            assertEquals(result.status(), 200, "host " + host);
        }
    }

    /** Requests that crash endpoints. */
    public static final class Quarantine extends Fixture {
        /** The paths of calls that may run twice, that may not, and of streams. */
        @DataProvider
        public Object[][] paths() {
            return new Object[][] {{"/read/crash"}, {"/submit/crash"}, {"/stream/crash"}};
        }

        /** Guards against copies that reach endpoints through any host after three crashes. */
        @Test(dataProvider = "paths")
        public void requestIsRejectedByAllHosts(String path) throws Exception {
            crashThree(path);
            for (int host = 0; host < HOSTS; host++) {
                assertRejected(host, path);
            }
        }

        /** Guards against other requests that are rejected with it. */
        @Test
        public void otherRequestsAreServed() throws Exception {
            crashThree("/read/crash");
            for (int host = 0; host < HOSTS; host++) {
                assertServed(host, "/read/other", WORK_MILLIS / 100);
                // The body, which states the work, is another one.
                assertServed(host, "/read/crash", 5);
            }
        }

        /** Guards against a host that starts later and does not know the request. */
        @Test
        public void newHostKnowsTheRequest() throws Exception {
            crashThree("/read/crash");
            int added = hosts.startHost();
            Thread.sleep(CONTACT_MILLIS);
            assertRejected(added, "/read/crash");
        }

        /** Guards against ends that count for nobody because another host had sent the call on. */
        @Test
        public void forwardedCopiesCount() throws Exception {
            for (int i = 0; i < 3; i++) {
                // After the endpoint has started again, which restores the links to it.
                Thread.sleep(600);
                hosts.cut(0, new Condition.Hanging());
                // By then, the host knows that it reaches no endpoint and has its calls forwarded.
                Thread.sleep(HOLD_MILLIS);
                crash(0, "/submit/crash");
            }
            hosts.restore(0);
            Thread.sleep(CONTACT_MILLIS);
            for (int host = 0; host < HOSTS; host++) {
                assertRejected(host, "/submit/crash");
            }
        }

        /** Guards against hosts that need the key-value service to know the request. */
        @Test
        public void hostsThatTheServiceRejectsKnowTheRequest() throws Exception {
            for (int host = 0; host < HOSTS; host++) {
                hosts.setRejected(host, true);
            }
            for (int host = 0; host < HOSTS; host++) {
                String id = newId();
                send(host, "/submit/crash", id);
                hosts.crash(awaitReceived(id));
                Thread.sleep(HOLD_MILLIS);
            }
            Thread.sleep(CONTACT_MILLIS);
            for (int host = 0; host < HOSTS; host++) {
                assertRejected(host, "/submit/crash");
            }
        }

        /** Guards against a request that new software could run and that is still rejected. */
        @Test
        public void newSoftwareIsTried() throws Exception {
            crashThree("/read/crash");
            SoftwareVersion next = new SoftwareVersion("next");
            hosts.register(hosts.endpoints.getFirst(), 99, next);
            Thread.sleep(500);
            String id = newId();
            LinkedHosts.Result result =
                    hosts.call(0, "/read/crash", id, TIMEOUT_MILLIS, WORK_MILLIS);
            assertEquals(result.status(), 200);
            assertEquals(hosts.endpointOf(id), hosts.endpoints.getFirst());
        }
    }

    /** The time before a request is known to crash endpoints. */
    public static final class Suspicion extends Fixture {
        /** Guards against a call that crashes one endpoint after the other within its deadline. */
        @Test
        public void noQuickSecondTry() throws Exception {
            String id = newId();
            Future<LinkedHosts.Result> call = send(0, "/read/crash", id);
            hosts.crash(awaitReceived(id));
            Thread.sleep(250);
            assertEquals(hosts.timesReceived(id), 1);
            call.get();
        }

        /** Guards against several copies at once before the first one counts. */
        @Test
        public void oneCopyIsUnderWay() throws Exception {
            crash(0, "/submit/crash");
            Thread.sleep(500);
            int before = receivedCount();
            for (int i = 0; i < 2 * HOSTS; i++) {
                send(i % HOSTS, "/submit/crash", newId());
            }
            Thread.sleep(1_200);
            assertEquals(receivedCount() - before, 1);
        }

        private int receivedCount() {
            return hosts.endpoints.stream().mapToInt(TimedEndpoint::receivedCount).sum();
        }

        /** Guards against sound calls that are lost because an endpoint ended under them. */
        @Test
        public void soundRequestIsServedAndClearedAfterAnEnd() throws Exception {
            String id = newId();
            Future<LinkedHosts.Result> call = send(0, "/read/sound", id);
            TimedEndpoint endpoint = awaitReceived(id);
            hosts.crash(endpoint);
            assertEquals(call.get().status(), 200);
            for (int host = 0; host < HOSTS; host++) {
                assertServed(host, "/read/sound", WORK_MILLIS);
            }
        }
    }

    /** Faults that no request has caused. */
    public static final class OtherFaults extends Fixture {
        private void breakThree(Condition condition) throws Exception {
            for (int i = 0; i < 4; i++) {
                String id = newId();
                Future<LinkedHosts.Result> call = send(0, "/submit/sound", id);
                awaitReceived(id);
                hosts.cut(0, condition);
                Thread.sleep(500);
                hosts.restore(0);
                call.get();
                Thread.sleep(700);
            }
            assertServed(0, "/submit/sound", WORK_MILLIS);
            assertServed(1, "/submit/sound", WORK_MILLIS);
        }

        /** Guards against requests that are blamed for lost responses. */
        @Test
        public void resetConnectionsCondemnNothing() throws Exception {
            breakThree(new Condition.Refusing());
        }

        /** Guards against requests that are blamed for a cut that refuses connections. */
        @Test
        public void cutsThatRefuseCondemnNothing() throws Exception {
            breakThree(new Condition.Closed(true));
        }

        /** Guards against requests that are blamed for a silent cut. */
        @Test
        public void silentCutsCondemnNothing() throws Exception {
            breakThree(new Condition.Hanging());
        }

        /** Guards against a popular request that is blamed because it is at every end. */
        @Test
        public void popularRequestIsServedWhileEndpointsFlap() throws Exception {
            AtomicInteger served = new AtomicInteger();
            AtomicInteger quarantined = new AtomicInteger();
            for (int host = 0; host < HOSTS; host++) {
                int target = host;
                callers.submit(() -> readSteadily(target, served, quarantined));
            }
            for (int i = 0; i < 12; i++) {
                TimedEndpoint endpoint = hosts.endpoints.get(i % 3);
                hosts.crash(endpoint);
                Thread.sleep(300);
                hosts.restart(endpoint, 1_000 + i);
                Thread.sleep(200);
            }
            assertEquals(quarantined.get(), 0);
            int before = served.get();
            Thread.sleep(1_000);
            assertTrue(served.get() - before >= 10, "served in 1 s: " + (served.get() - before));
        }

        private Void readSteadily(int host, AtomicInteger served, AtomicInteger quarantined)
                throws InterruptedException {
            while (true) {
                LinkedHosts.Result result =
                        hosts.call(host, "/read/popular", newId(), TIMEOUT_MILLIS, 20);
                if (result.isServed()) {
                    served.incrementAndGet();
                }
                if (result.body().contains("quarantined")) {
                    quarantined.incrementAndGet();
                }
                Thread.sleep(10);
            }
        }
    }

    /** Customers that send the same request. */
    public static final class Customers extends Fixture {
        private static final String CRASHING = "secret-of-acme";
        private static final String OTHER = "secret-of-beta";

        /** Puts a release with two customers in force. */
        @BeforeMethod
        public void publishCustomers() throws Exception {
            hosts.publishRelease(
                    2,
                    """
                    [[customers]]
                    name = "acme"
                    keys = ["secret-of-acme"]
                    [[customers]]
                    name = "beta"
                    keys = ["secret-of-beta"]
                    """);
            for (int host = 0; host < HOSTS; host++) {
                for (int i = 0; i < 100 && call(host, "/read/", newId(), "").status() != 401; i++) {
                    Thread.sleep(20);
                }
                assertEquals(call(host, "/read/", newId(), "").status(), 401);
            }
        }

        private LinkedHosts.Result call(int host, String path, String id, String key) {
            String request =
                    LateCallTest.Fixture.request(path, id, TIMEOUT_MILLIS, WORK_MILLIS)
                            .replace(
                                    "Call-Deadline-Ms",
                                    "Authorization: Bearer " + key + "\r\nCall-Deadline-Ms");
            return hosts.call(host, id, request);
        }

        @Override
        Future<LinkedHosts.Result> send(int host, String path, String id) {
            return callers.submit(() -> call(host, path, id, CRASHING));
        }

        /** Guards against a customer whose calls are rejected for the requests of another one. */
        @Test
        public void sameRequestOfAnotherCustomerIsServed() throws Exception {
            crashThree("/read/crash");
            for (int host = 0; host < HOSTS; host++) {
                String id = newId();
                LinkedHosts.Result rejected = call(host, "/read/crash", id, CRASHING);
                assertEquals(rejected.status(), 503, "host " + host);
                assertTrue(rejected.body().contains("quarantined"), rejected.body());
                assertEquals(hosts.timesReceived(id), 0);
                String otherId = newId();
                assertEquals(call(host, "/read/crash", otherId, OTHER).status(), 200);
                assertEquals(hosts.timesReceived(otherId), 1);
            }
        }
    }

    /** Hosts that have stopped. */
    public static final class StoppedHosts extends Fixture {
        /** Long enough for several messages that compare what hosts suspect. */
        private static final int LISTENING_MILLIS = 4_000;

        /**
         * Guards against messages of a stopped host, which reach whoever listens next on the port
         * of another host.
         */
        @Test
        public void sendNothing() throws Exception {
            crash(0, "/read/crash");
            List<Thread> stops = new ArrayList<>();
            for (int host = 0; host < HOSTS; host++) {
                stops.add(Thread.ofVirtual().start(hosts.node(host)::stop));
            }
            for (Thread stop : stops) {
                stop.join();
            }
            Address address = hosts.peerAddress(1);
            // All hosts are stopped once more when the test has ended, which must not block.
            try (ServerSocket listener =
                    new ServerSocket(address.port(), 50, InetAddress.getByName(address.ip()))) {
                listener.setSoTimeout(LISTENING_MILLIS);
                assertThrows(SocketTimeoutException.class, listener::accept);
            }
        }
    }
}
