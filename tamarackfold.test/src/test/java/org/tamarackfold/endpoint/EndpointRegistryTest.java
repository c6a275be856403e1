package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Random;
import java.util.Set;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When endpoints stop receiving calls after their registrations end. */
public final class EndpointRegistryTest {
    private EndpointRegistryTest() {}

    /** A registry under virtual time with one registered endpoint. */
    abstract static class Fixture {
        static final EndpointId ID = new EndpointId("engine-1");
        VirtualScheduler scheduler;
        EndpointTable table;
        EndpointRegistry registry;

        /** Registers the endpoint. */
        @BeforeMethod
        public void register() {
            scheduler = new VirtualScheduler();
            table = new EndpointTable(new AvailabilityZone("a"), new Random(1));
            registry = new EndpointRegistry(table, scheduler);
            registry.registered(record());
        }

        static EndpointRecord record() {
            return record(ID);
        }

        static EndpointRecord record(EndpointId id) {
            return new EndpointRecord(
                    id,
                    new ServiceName("models"),
                    new Address("10.0.0.1", 80),
                    new AvailabilityZone("a"),
                    4,
                    false,
                    1);
        }

        void serviceLostAndRegained(long outageMillis) {
            registry.serviceReachable(false);
            run(outageMillis);
            registry.serviceReachable(true);
        }

        void run(long millis) {
            scheduler.advance(Duration.ofMillis(millis));
        }
    }

    /** The key-value service is calm. */
    public static final class Calm extends Fixture {
        /** Guards against calls to an endpoint that has left. */
        @Test
        public void removedAtOnce() {
            registry.removed(ID);
            assertEquals(table.size(), 0);
        }
    }

    /** The key-value service has been away. */
    public static final class AfterAnOutage extends Fixture {
        /** Guards against dropping endpoints that live while registrations lapse and return. */
        @Test
        public void lapsedRegistrationMayReturn() {
            serviceLostAndRegained(1_000);
            registry.removed(ID);
            run(1_500);
            assertEquals(table.size(), 1);
            registry.registered(record());
            run(5_000);
            assertEquals(table.size(), 1);
        }

        /** Guards against keeping an endpoint whose registration does not return. */
        @Test
        public void removedWhenTheTimeToReturnHasPassed() {
            serviceLostAndRegained(1_000);
            registry.removed(ID);
            run(2_500);
            assertEquals(table.size(), 0);
        }

        /**
         * Guards against calls to an endpoint that left 3.7 s after the return of the service: the
         * removal was held back for 2.3 s more, beyond the time in which calls may still reach it.
         */
        @Test
        public void removedAtOnceOnceTheTimeToReturnHasPassed() {
            serviceLostAndRegained(100);
            run(3_700);
            registry.removed(ID);
            assertEquals(table.size(), 0);
        }

        /** Guards against dropping endpoints that are missing from a listing after an outage. */
        @Test
        public void missingFromTheListingIsHeldBack() {
            serviceLostAndRegained(3_000);
            registry.listed(Set.of());
            assertEquals(table.size(), 1);
            run(2_500);
            assertEquals(table.size(), 0);
        }

        /**
         * Guards against calls to an endpoint that left while this host alone was cut off: its
         * removal was held back for 2.3 s although the other endpoints had stayed registered.
         */
        @Test
        public void removedAtOnceWhenMostEndpointsHaveStayed() {
            EndpointId other = new EndpointId("engine-2");
            registry.registered(record(other));
            serviceLostAndRegained(10_000);
            registry.listed(Set.of(other));
            assertEquals(table.ids(), Set.of(other));
        }

        /** Guards against removals that come one by one and leave no endpoint to call. */
        @Test
        public void heldBackWhenRemovalsOneByOneLeaveTooFew() {
            for (int i = 2; i <= 4; i++) {
                registry.registered(record(new EndpointId("engine-" + i)));
            }
            serviceLostAndRegained(5_000);
            for (int i = 1; i <= 4; i++) {
                registry.removed(new EndpointId("engine-" + i));
            }
            assertEquals(table.size(), 2);
            run(2_200);
            assertEquals(table.size(), 0);
        }
    }
}
