package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How the causes of broken connections are told apart. */
public final class BreakTracerTest {
    private BreakTracerTest() {}

    /** One endpoint whose probes have scripted results, in virtual time. */
    abstract static class Fixture {
        static final ConnectionProbe OPENED = new ConnectionProbe.Opened();
        static final ConnectionProbe REFUSED = new ConnectionProbe.Refused();
        static final ConnectionProbe UNANSWERED = new ConnectionProbe.Unanswered();

        final Deque<ConnectionProbe> probes = new ArrayDeque<>();
        VirtualScheduler scheduler;
        EndpointTable table;
        BreakTracer tracer;
        boolean delayed;
        int probeCount;

        /** Registers the endpoint. */
        @BeforeMethod
        public void start() {
            scheduler = new VirtualScheduler();
            table = EndpointTables.ofSingleHost();
            table.put(endpoint(false));
            probes.clear();
            delayed = false;
            probeCount = 0;
            tracer =
                    new BreakTracer(
                            table,
                            new Connections(),
                            sinceNanos -> delayed,
                            scheduler,
                            new HostMetrics());
        }

        final class Connections implements EndpointConnections {
            @Override
            public CompletableFuture<ConnectionProbe> probe(EndpointRecord endpoint) {
                probeCount++;
                return CompletableFuture.completedFuture(probes.remove());
            }

            @Override
            public void closeIdle(EndpointRecord endpoint) {
                throw new AssertionError("not used by the tracer");
            }
        }

        static EndpointRecord endpoint(boolean draining) {
            return endpoint("engine-0", draining);
        }

        static EndpointRecord endpoint(String id, boolean draining) {
            return new EndpointRecord(
                    new EndpointId(id),
                    new ServiceName("models"),
                    new Address("127.0.0.1", 9),
                    new AvailabilityZone("a"),
                    4,
                    draining,
                    17,
                    new SoftwareVersion("v1"));
        }

        CompletableFuture<BreakCause> trace() {
            return tracer.trace(endpoint(false), scheduler.nanoTime());
        }

        BreakCause causeWith(ConnectionProbe... results) {
            probes.addAll(List.of(results));
            CompletableFuture<BreakCause> cause = trace();
            scheduler.advance(Duration.ofMillis(500));
            assertTrue(cause.isDone());
            return cause.join();
        }
    }

    /** Endpoints that end, are alive or cannot be reached. */
    public static final class Causes extends Fixture {
        /** Guards against ends that are taken for lost responses. */
        @Test
        public void endpointThatRefusesTwiceHasEnded() {
            assertEquals(causeWith(REFUSED, REFUSED), new BreakCause.Ended(endpoint(false)));
        }

        /** Guards against live endpoints that count as ended for a lost response. */
        @Test
        public void endpointThatAcceptsHasLostTheResponse() {
            assertEquals(causeWith(OPENED), new BreakCause.Alive());
        }

        /** Guards against live endpoints that count as ended while they refuse for a moment. */
        @Test
        public void endpointThatRefusesOnceIsAlive() {
            assertEquals(causeWith(REFUSED, OPENED), new BreakCause.Alive());
        }

        /** Guards against cut paths that count as ends of all endpoints behind them. */
        @Test
        public void endpointThatDoesNotAnswerIsUnreached() {
            assertEquals(causeWith(UNANSWERED), new BreakCause.Unreached());
            assertEquals(causeWith(REFUSED, UNANSWERED), new BreakCause.Unreached());
        }

        /** Guards against ends seen where an endpoint only has too many connections. */
        @Test
        public void endpointHeardOnOtherConnectionsIsAlive() {
            probes.addAll(List.of(REFUSED, REFUSED));
            CompletableFuture<BreakCause> cause = trace();
            scheduler.advance(Duration.ofMillis(40));
            table.recordHeard(new EndpointId("engine-0"), scheduler.nanoTime());
            scheduler.advance(Duration.ofMillis(500));
            assertEquals(cause.join(), new BreakCause.Alive());
        }

        /** Guards against live endpoints taken for ended because of bytes read after their end. */
        @Test
        public void bytesReadRightAfterTheBreakAreOlder() {
            probes.addAll(List.of(REFUSED, REFUSED));
            CompletableFuture<BreakCause> cause = trace();
            scheduler.advance(Duration.ofMillis(2));
            table.recordHeard(new EndpointId("engine-0"), scheduler.nanoTime());
            scheduler.advance(Duration.ofMillis(500));
            assertEquals(cause.join(), new BreakCause.Ended(endpoint(false)));
        }
    }

    /** A host with several endpoints. */
    public static final class CutPaths extends Fixture {
        private void registerOthers() {
            table.put(endpoint("engine-1", false));
            table.put(endpoint("engine-2", false));
        }

        /** Guards against a cut that refuses connections and counts as the end of endpoints. */
        @Test
        public void hostThatReachesNoEndpointIsCutOff() {
            registerOthers();
            assertEquals(
                    causeWith(REFUSED, REFUSED, REFUSED, UNANSWERED), new BreakCause.Unreached());
        }

        /** Guards against ends that do not count because nothing else is called. */
        @Test
        public void endpointHasEndedIfAnotherAccepts() {
            registerOthers();
            assertEquals(
                    causeWith(REFUSED, REFUSED, REFUSED, OPENED),
                    new BreakCause.Ended(endpoint(false)));
        }

        /** Guards against a probe of others while their responses arrive. */
        @Test
        public void bytesOfAnotherEndpointProveThePath() {
            registerOthers();
            probes.addAll(List.of(REFUSED, REFUSED));
            CompletableFuture<BreakCause> cause = trace();
            scheduler.advance(Duration.ofMillis(1));
            table.recordHeard(new EndpointId("engine-1"), scheduler.nanoTime());
            scheduler.advance(Duration.ofMillis(500));
            assertEquals(cause.join(), new BreakCause.Ended(endpoint(false)));
            assertEquals(probeCount, 2);
        }
    }

    /** Ends that nobody's call has caused. */
    public static final class ExpectedEnds extends Fixture {
        /** Guards against planned ends that count as crashes. */
        @Test
        public void drainingEndpointHasLeft() {
            table.put(endpoint(true));
            assertEquals(causeWith(), new BreakCause.Left());
        }

        /** Guards against planned ends whose statement arrives after them. */
        @Test
        public void endpointThatDeregistersMeanwhileHasLeft() {
            probes.addAll(List.of(REFUSED, REFUSED));
            CompletableFuture<BreakCause> cause = trace();
            scheduler.advance(Duration.ofMillis(40));
            table.remove(new EndpointId("engine-0"));
            scheduler.advance(Duration.ofMillis(500));
            assertEquals(cause.join(), new BreakCause.Left());
        }

        /** Guards against ends that a frozen host has missed and blames on its calls. */
        @Test
        public void hostThatStoodStillTracesNothing() {
            delayed = true;
            assertEquals(causeWith(), new BreakCause.HostDelayed());
            assertEquals(probeCount, 0);
        }
    }

    /** Several calls at one endpoint. */
    public static final class SharedTraces extends Fixture {
        /** Guards against a probe for each call of an ended endpoint. */
        @Test
        public void breaksOfOneEndShareATrace() {
            probes.addAll(List.of(REFUSED, REFUSED));
            CompletableFuture<BreakCause> first = trace();
            scheduler.advance(Duration.ofMillis(10));
            assertSame(trace(), first);
            scheduler.advance(Duration.ofMillis(300));
            assertSame(trace(), first);
            assertEquals(probeCount, 2);
        }

        /** Guards against an old answer for a new break of a live endpoint. */
        @Test
        public void lostResponsesAreTracedOneByOne() {
            causeWith(OPENED);
            CompletableFuture<BreakCause> second = trace();
            assertFalse(second.isDone());
        }
    }
}
