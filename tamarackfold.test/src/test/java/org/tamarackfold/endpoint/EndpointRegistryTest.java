package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Set;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Removal of endpoints whose registrations have expired or been removed. */
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
            table = EndpointTables.ofSingleHost();
            registry = new EndpointRegistry(table, scheduler);
            registry.onRegistered(record());
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
                    1,
                    SoftwareVersion.UNSTATED);
        }

        void simulateOutage(long outageMillis) {
            registry.onServiceReachabilityChanged(false);
            advance(outageMillis);
            registry.onServiceReachabilityChanged(true);
        }

        void advance(long millis) {
            scheduler.advance(Duration.ofMillis(millis));
        }
    }

    /** The key-value service has not been interrupted. */
    public static final class WithoutOutage extends Fixture {
        /** Guards against calls to an endpoint that has deregistered. */
        @Test
        public void removalTakesEffectAtOnce() {
            registry.onRemoved(ID);
            assertEquals(table.size(), 0);
        }
    }

    /** The key-value service has recovered from an outage. */
    public static final class AfterOutage extends Fixture {
        /** Guards against removing live endpoints whose registrations expired in the outage. */
        @Test
        public void endpointRegistersAgainWithinGracePeriod() {
            simulateOutage(1_000);
            registry.onRemoved(ID);
            advance(1_500);
            assertEquals(table.size(), 1);
            registry.onRegistered(record());
            advance(5_000);
            assertEquals(table.size(), 1);
        }

        /** Guards against keeping an endpoint that does not register again. */
        @Test
        public void heldBackRemovalTakesEffectAfterGracePeriod() {
            simulateOutage(1_000);
            registry.onRemoved(ID);
            advance(2_500);
            assertEquals(table.size(), 0);
        }

        /**
         * Guards against calls to an endpoint that deregisters 3.7 s after the recovery of the
         * service. Holding back its removal for another 2.3 s, as a grace period that starts anew
         * does, lets calls reach it for longer than allowed.
         */
        @Test
        public void removalAfterGracePeriodTakesEffectAtOnce() {
            simulateOutage(100);
            advance(3_700);
            registry.onRemoved(ID);
            assertEquals(table.size(), 0);
        }

        /** Guards against removing live endpoints that the first listing after an outage lacks. */
        @Test
        public void removalOfEndpointMissingFromListingIsHeldBack() {
            simulateOutage(3_000);
            registry.onListing(Set.of());
            assertEquals(table.size(), 1);
            advance(2_500);
            assertEquals(table.size(), 0);
        }

        /**
         * Guards against calls to an endpoint that deregisters while this host alone has lost its
         * connection to the service. Its removal must not be held back (2.3 s without this rule),
         * because the other endpoints have stayed registered.
         */
        @Test
        public void removalTakesEffectAtOnceWhenMostEndpointsRemain() {
            EndpointId other = new EndpointId("engine-2");
            registry.onRegistered(record(other));
            simulateOutage(10_000);
            registry.onListing(Set.of(other));
            assertEquals(table.ids(), Set.of(other));
        }

        /** Guards against a series of single removals that leaves a service without endpoints. */
        @Test
        public void singleRemovalsAreHeldBackBelowMinimum() {
            for (int i = 2; i <= 4; i++) {
                registry.onRegistered(record(new EndpointId("engine-" + i)));
            }
            simulateOutage(5_000);
            for (int i = 1; i <= 4; i++) {
                registry.onRemoved(new EndpointId("engine-" + i));
            }
            assertEquals(table.size(), 2);
            advance(2_200);
            assertEquals(table.size(), 0);
        }
    }
}
