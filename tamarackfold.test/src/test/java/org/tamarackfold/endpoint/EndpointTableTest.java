package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Choosing endpoints. */
public final class EndpointTableTest {
    private EndpointTableTest() {}

    private static final long SECOND = 1_000_000_000L;

    /** Six endpoints with ids like those of a platform. */
    abstract static class Fixture {
        static final ServiceName SERVICE = new ServiceName("models");
        EndpointTable table;

        /** Registers the endpoints. */
        @BeforeMethod
        public void register() {
            table = new EndpointTable(new AvailabilityZone("a"), new Random(1));
            for (int i = 0; i < 6; i++) {
                table.put(
                        new EndpointRecord(
                                new EndpointId("i-" + Integer.toHexString(0x5fc0f00 + 977 * i)),
                                SERVICE,
                                new Address("10.0.0." + (i + 1), 80),
                                new AvailabilityZone("a"),
                                64,
                                false,
                                1));
            }
        }

        EndpointId choose(String affinity, long now) {
            PlacementRequest request =
                    new PlacementRequest(SERVICE, Option.of(affinity), HashSet.empty());
            return ((Selection.Chosen) table.choose(request, now)).endpoint().id();
        }

        void answered(EndpointId id, double millis, long now) {
            table.finished(id, new Observation.Answered(millis), now);
        }
    }

    /** Calls that share an affinity value. */
    public static final class Affinity extends Fixture {
        /** Guards against conversations that move and are read again by another endpoint. */
        @Test
        public void sameValuePrefersTheSameEndpoint() {
            EndpointId first = choose("program-1", 0);
            answered(first, 50, 0);
            for (int i = 0; i < 20; i++) {
                EndpointId next = choose("program-1", 0);
                assertEquals(next, first);
                answered(next, 50, 0);
            }
        }

        /**
         * Guards against a hash that gives most programs to a few endpoints; two of six had nearly
         * all of them.
         */
        @Test
        public void programsAreSpreadEvenly() {
            Map<EndpointId, Integer> counts = new HashMap<>();
            for (int i = 0; i < 3_000; i++) {
                EndpointId chosen = choose(Integer.toHexString(0x3fa81c + 7 * i), 0);
                counts.merge(chosen, 1, Integer::sum);
                answered(chosen, 50, 0);
            }
            assertEquals(counts.size(), 6);
            counts.forEach(
                    (id, count) -> assertTrue(count > 350 && count < 650, id + ": " + count));
        }
    }

    /** Endpoints that are slower than others. */
    public static final class Slowness extends Fixture {
        private EndpointId slow;

        private void makeSlow() {
            slow = choose("program-1", 0);
            answered(slow, 400, 0);
            for (int i = 0; i < 60; i++) {
                EndpointId other = choose("other-" + i, 0);
                answered(other, other.equals(slow) ? 400 : 100, 0);
            }
        }

        /** Guards against calls that stay with an overloaded endpoint for their affinity. */
        @Test
        public void slowEndpointLosesItsPrograms() {
            makeSlow();
            assertNotEquals(choose("program-1", 0), slow);
        }

        /** Guards against an endpoint that is never used again after it was slow. */
        @Test
        public void slownessIsForgotten() {
            makeSlow();
            assertEquals(choose("program-1", 20 * SECOND), slow);
        }
    }
}
