package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a host takes for out of reach, from connections that fail and bytes that arrive. */
public final class ReachabilityMonitorTest {
    private ReachabilityMonitorTest() {}

    /** Six endpoints of the service "models" and three of "ledger", in virtual time. */
    abstract static class Fixture {
        static final long CONNECT_MILLIS = 2;
        static final long TIMEOUT_MILLIS = 300;

        VirtualScheduler scheduler;
        EndpointTable table;
        ReachabilityMonitor monitor;

        /** The endpoints to which connections hang. */
        final Set<EndpointId> cut = new HashSet<>();

        final List<EndpointId> opened = new ArrayList<>();
        final List<EndpointId> closedIdle = new ArrayList<>();
        final List<Boolean> reports = new ArrayList<>();

        /** Starts a host that reaches all endpoints. */
        @BeforeMethod
        public void start() {
            cut.clear();
            opened.clear();
            closedIdle.clear();
            reports.clear();
            scheduler = new VirtualScheduler();
            table = EndpointTables.ofSingleHost();
            register("models", 6);
            register("ledger", 3);
            monitor =
                    new ReachabilityMonitor(
                            table, new Connections(), scheduler, new Random(5), reports::add);
        }

        final class Connections implements EndpointConnections {
            @Override
            public CompletableFuture<ConnectionProbe> probe(EndpointRecord endpoint) {
                opened.add(endpoint.id());
                CompletableFuture<ConnectionProbe> result = new CompletableFuture<>();
                boolean hangs = cut.contains(endpoint.id());
                scheduler.after(
                        Duration.ofMillis(hangs ? TIMEOUT_MILLIS : CONNECT_MILLIS),
                        () ->
                                result.complete(
                                        hangs
                                                ? new ConnectionProbe.Unanswered()
                                                : new ConnectionProbe.Opened()));
                return result;
            }

            @Override
            public void closeIdle(EndpointRecord endpoint) {
                closedIdle.add(endpoint.id());
            }
        }

        void register(String service, int count) {
            for (int i = 0; i < count; i++) {
                table.put(record(service, i));
            }
        }

        static EndpointRecord record(String service, int index) {
            return new EndpointRecord(
                    new EndpointId(service + "-" + index),
                    new ServiceName(service),
                    new Address("10.0.0.1", 80),
                    new AvailabilityZone(index % 2 == 0 ? "a" : "b"),
                    4,
                    false,
                    1,
                    SoftwareVersion.UNSTATED);
        }

        void cutAll(String service, int count) {
            for (int i = 0; i < count; i++) {
                cut.add(record(service, i).id());
            }
        }

        void advance(long millis) {
            scheduler.advance(Duration.ofMillis(millis));
        }

        void hear(EndpointRecord endpoint) {
            table.recordHeard(endpoint.id(), scheduler.nanoTime());
        }

        long unreachable(String service) {
            return table.available(scheduler.nanoTime())
                    .count(
                            observed ->
                                    !observed.reachable()
                                            && observed.record().service().value().equals(service));
        }
    }

    /** Endpoints that are slow, or down, while others serve. */
    public static final class SingleEndpoints extends Fixture {
        /** Guards against an endpoint that is given up because it is silent for a while. */
        @Test
        public void silentEndpointThatAcceptsConnectionsStaysInReach() {
            for (int i = 0; i < 4; i++) {
                CompletableFuture<Boolean> result = monitor.check(record("models", 0));
                advance(500);
                assertTrue(result.join());
            }
            assertEquals(monitor.unreachableCount(), 0);
        }

        /** Guards against connections to an endpoint whose other calls are being answered. */
        @Test
        public void endpointThatIsHeardIsNotChecked() {
            hear(record("models", 0));
            advance(300);
            assertTrue(monitor.check(record("models", 0)).join());
            assertEquals(opened.size(), 0);
        }

        /** Guards against a connection for each check of endpoints that are slow for long. */
        @Test
        public void slowEndpointsAreTestedOnceASecond() {
            for (int i = 0; i < 20; i++) {
                monitor.check(record("models", 0));
                monitor.check(record("models", 1));
                advance(250);
            }
            assertTrue(opened.size() <= 2 * 5 + 2, opened.size() + " connections in 5 s");
        }

        /** Guards against one dead endpoint that takes its whole service out of reach. */
        @Test
        public void deadEndpointAloneIsOutOfReach() {
            cut.add(record("models", 0).id());
            monitor.check(record("models", 0));
            advance(2_000);
            assertEquals(unreachable("models"), 1);
            assertTrue(reports.isEmpty(), "" + reports);
        }

        /** Guards against two dead endpoints that are taken for a cut while others answer. */
        @Test
        public void twoDeadEndpointsAreNoCutWhileOthersAreHeard() {
            cutAll("models", 2);
            for (int i = 0; i < 20; i++) {
                hear(record("models", 4));
                if (i % 5 == 0) {
                    monitor.check(record("models", 0));
                    monitor.check(record("models", 1));
                }
                advance(100);
            }
            assertEquals(unreachable("models"), 2);
        }

        /** Guards against an endpoint that stays unused after it has come back. */
        @Test
        public void endpointIsInReachSoonAfterItsReturn() {
            cut.add(record("models", 0).id());
            monitor.onConnectFailed(record("models", 0));
            advance(1_000);
            cut.clear();
            advance(1_000);
            assertEquals(monitor.unreachableCount(), 0);
        }

        /** Guards against calls on kept connections over a path that has been lost. */
        @Test
        public void idleConnectionsOfAnEndpointOutOfReachAreClosed() {
            monitor.onConnectFailed(record("models", 0));
            assertTrue(closedIdle.contains(record("models", 0).id()));
        }
    }

    /** Hosts that lose the path to a whole service, or to all. */
    public static final class Cuts extends Fixture {
        /** Guards against a host that finds its endpoints out of reach one by one, in seconds. */
        @Test
        public void twoFailedChecksTakeAllSilentEndpointsOutOfReach() {
            cutAll("models", 6);
            cutAll("ledger", 3);
            assertFalse(checkAndWait(record("models", 0), TIMEOUT_MILLIS + 1));
            assertEquals(unreachable("models"), 6);
            advance(TIMEOUT_MILLIS + 1);
            assertEquals(unreachable("ledger"), 3);
            assertEquals(reports, List.of(false));
        }

        private boolean checkAndWait(EndpointRecord endpoint, long millis) {
            CompletableFuture<Boolean> result = monitor.check(endpoint);
            advance(millis);
            return result.join();
        }

        /** Guards against a service without calls that counts as in reach for an old proof. */
        @Test
        public void servicesProvenJustBeforeTheCutAreLostAsWell() {
            monitor.start();
            advance(600);
            cutAll("models", 6);
            cutAll("ledger", 3);
            monitor.onConnectFailed(record("models", 0));
            monitor.onConnectFailed(record("models", 1));
            advance(2_500);
            assertEquals(unreachable("ledger"), 3);
            assertEquals(reports, List.of(false));
        }

        /** Guards against a host that leaves the directory for the loss of one service. */
        @Test
        public void lossOfOneServiceIsNotReported() {
            cutAll("models", 6);
            monitor.check(record("models", 0));
            advance(3_000);
            assertEquals(unreachable("models"), 6);
            assertEquals(unreachable("ledger"), 0);
            assertTrue(reports.isEmpty(), "" + reports);
        }

        /** Guards against calls that crowd at the first endpoint found in reach again. */
        @Test
        public void allEndpointsAreInReachSoonAfterTheEndOfACut() {
            cutAll("models", 6);
            cutAll("ledger", 3);
            monitor.check(record("models", 0));
            advance(5_000);
            cut.clear();
            advance(1_300);
            assertEquals(monitor.unreachableCount(), 0);
            assertEquals(reports, List.of(false, true));
        }

        /** Guards against a connection to each endpoint by each host when a cut ends. */
        @Test
        public void endOfACutNeedsFewConnections() {
            cutAll("models", 6);
            cutAll("ledger", 3);
            monitor.check(record("models", 0));
            advance(5_000);
            cut.clear();
            int before = opened.size();
            advance(1_300);
            assertEquals(monitor.unreachableCount(), 0);
            assertTrue(opened.size() - before <= 6, "" + (opened.size() - before));
        }

        /** Guards against endpoints that stay out of reach because others of their service are. */
        @Test
        public void endpointsThatRemainInReachAreFound() {
            cutAll("models", 3);
            for (int i = 0; i < 3; i++) {
                monitor.onConnectFailed(record("models", i));
            }
            assertEquals(unreachable("models"), 6, "presumed");
            advance(2_000);
            assertEquals(unreachable("models"), 3);
        }

        /** Guards against calls that wait for the connection to each new endpoint in a cut. */
        @Test
        public void endpointThatRegistersDuringACutIsOutOfReach() {
            cutAll("models", 7);
            monitor.check(record("models", 0));
            advance(1_000);
            table.put(record("models", 6));
            assertEquals(unreachable("models"), 7);
        }

        /** Guards against writes to the key-value service for each of many short cuts. */
        @Test
        public void reportsAreLimitedInShortCuts() {
            for (int i = 0; i < 20; i++) {
                cutAll("models", 6);
                cutAll("ledger", 3);
                monitor.onConnectFailed(record("models", 0));
                monitor.onConnectFailed(record("models", 1));
                monitor.onConnectFailed(record("ledger", 0));
                monitor.onConnectFailed(record("ledger", 1));
                advance(100);
                cut.clear();
                advance(650);
            }
            assertTrue(reports.size() <= 16, "reports in 15 s: " + reports.size());
            advance(5_000);
            assertTrue(reports.isEmpty() || reports.getLast(), "" + reports);
        }

        /** Guards against a host that is cut off from its start on and learns it from callers. */
        @Test
        public void hostChecksEachServiceWhenItStarts() {
            cutAll("models", 6);
            cutAll("ledger", 3);
            monitor.start();
            advance(TIMEOUT_MILLIS + 1);
            assertEquals(unreachable("models"), 6);
            assertEquals(unreachable("ledger"), 3);
        }
    }
}
