package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How long an endpoint that has stated that it leaves receives no calls. */
public final class LeavingEndpointsTest {
    private LeavingEndpointsTest() {}

    private static final EndpointId ID = new EndpointId("engine-1");
    private static final ServiceName SERVICE = new ServiceName("models");
    private static final long START = 1_700_000_000_000L;
    private static final long UNKNOWN_START = 0;

    private static EndpointRecord record(EndpointId id, long startedAtMillis) {
        return new EndpointRecord(
                id,
                SERVICE,
                new Address("10.0.0.1", 80),
                new AvailabilityZone("a"),
                4,
                false,
                startedAtMillis,
                new SoftwareVersion("v1"));
    }

    /** A registry under virtual time. */
    abstract static class Fixture {
        VirtualScheduler scheduler;
        EndpointTable table;
        EndpointRegistry registry;

        /** Creates an empty registry. */
        @BeforeMethod
        public void create() {
            scheduler = new VirtualScheduler();
            table = EndpointTables.ofSingleHost();
            registry = new EndpointRegistry(table, scheduler);
        }

        void register(long startedAtMillis) {
            registry.onRegistered(record(ID, startedAtMillis));
        }

        boolean leave(long startedAtMillis) {
            return table.recordLeaving(record(ID, startedAtMillis), scheduler.nanoTime());
        }

        void advance(Duration duration) {
            scheduler.advance(duration);
        }

        boolean isUsed() {
            SelectionRequest request =
                    new SelectionRequest(SERVICE, Option.none(), HashSet.empty());
            boolean counted =
                    table.countAvailable(Set.of(), scheduler.nanoTime()).containsKey(SERVICE);
            boolean selected =
                    table.select(request, scheduler.nanoTime()) instanceof Selection.Selected;
            assertEquals(selected, counted);
            return selected;
        }
    }

    /** Endpoints whose registration has a start time. */
    public static final class WithStartTime extends Fixture {
        /** Guards against calls once the registration is written again as ready. */
        @Test
        public void markOutlastsRegistrations() {
            register(START);
            assertTrue(isUsed());
            assertTrue(leave(START));
            assertFalse(leave(START));
            assertFalse(isUsed());
            register(START);
            assertFalse(isUsed());
            advance(Duration.ofHours(1));
            assertFalse(isUsed());
        }

        /** Guards against a late listing that has the registration after its removal. */
        @Test
        public void markOutlastsRemovals() {
            register(START);
            leave(START);
            registry.onRemoved(ID);
            advance(Duration.ofMinutes(5));
            register(START);
            assertFalse(isUsed());
        }

        /** Guards against a registration that expires in an outage and is written again. */
        @Test
        public void markOutlastsOutages() {
            register(START);
            leave(START);
            registry.onServiceReachabilityChanged(false);
            advance(Duration.ofSeconds(20));
            registry.onServiceReachabilityChanged(true);
            registry.onListing(Set.of());
            advance(Duration.ofSeconds(3));
            assertEquals(table.size(), 0);
            register(START);
            assertFalse(isUsed());
        }

        /** Guards against a new start that is taken for the one that left. */
        @Test
        public void markEndsWithANewStart() {
            register(START);
            leave(START);
            register(START + 1);
            assertTrue(isUsed());
            leave(START);
            assertTrue(isUsed());
            register(START);
            assertFalse(isUsed());
        }

        /** Guards against a start time that is smaller because a clock was set back. */
        @Test
        public void earlierStartTimesAreNewStartsToo() {
            register(START);
            leave(START);
            registry.onRemoved(ID);
            register(START - 5_000);
            assertTrue(isUsed());
        }
    }

    /** Endpoints whose start times are unknown. */
    public static final class WithoutStartTime extends Fixture {
        /** Guards against a stale registration, taken for a new start. */
        @Test
        public void markOutlastsRemovalsForAMinute() {
            register(UNKNOWN_START);
            leave(UNKNOWN_START);
            registry.onRemoved(ID);
            advance(Duration.ofSeconds(40));
            register(UNKNOWN_START);
            assertFalse(isUsed());
            advance(Duration.ofSeconds(21));
            assertTrue(isUsed());
        }

        /** Guards against an endpoint that is never used again under its id. */
        @Test
        public void markEndsAfterTenMinutes() {
            register(UNKNOWN_START);
            leave(UNKNOWN_START);
            advance(Duration.ofMinutes(9));
            assertFalse(isUsed());
            advance(Duration.ofMinutes(2));
            assertTrue(isUsed());
        }
    }

    /** Endpoints that come and go for a long time. */
    public static final class Bounds {
        private static final long SECOND_NANOS = 1_000_000_000L;

        private static Incarnation incarnation(int index) {
            return new Incarnation(new EndpointId("engine-" + index), START + index);
        }

        /** Guards against marks that are kept for ever. */
        @Test
        public void marksOfRemovedEndpointsExpire() {
            LeavingEndpoints leaving = new LeavingEndpoints();
            Map<Incarnation, Boolean> registered = Map.of(incarnation(0), true);
            for (int i = 0; i < 10_000; i++) {
                leaving.add(incarnation(i), registered::containsKey, i * SECOND_NANOS);
            }
            assertEquals(leaving.size(), 601);
            assertTrue(leaving.isLeaving(incarnation(0), 10_000 * SECOND_NANOS));
            assertFalse(leaving.isLeaving(incarnation(1), 10_000 * SECOND_NANOS));
        }

        /** Guards against marks without a bound of their number. */
        @Test
        public void newestMarksAreKept() {
            LeavingEndpoints leaving = new LeavingEndpoints();
            for (int i = 0; i < 10_000; i++) {
                leaving.add(incarnation(i), unused -> true, i);
            }
            assertEquals(leaving.size(), 4_096);
            assertTrue(leaving.isLeaving(incarnation(9_999), 10_000));
        }
    }
}
