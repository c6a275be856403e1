package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which entry host is asked to forward a call. */
public final class ForwardingHostsTest {
    private ForwardingHostsTest() {}

    private static final AvailabilityZone LOCAL = new AvailabilityZone("a");
    private static final AvailabilityZone REMOTE = new AvailabilityZone("b");

    /** The host "self" in zone "a". */
    abstract static class Fixture {
        VirtualScheduler scheduler;
        HostTable hostTable;
        ForwardingHosts hosts;

        /** Creates a fleet of one host. */
        @BeforeMethod
        public void start() {
            scheduler = new VirtualScheduler();
            hostTable = new HostTable();
            hosts =
                    new ForwardingHosts(
                            new HostId("self"), LOCAL, hostTable, scheduler, new Random(3));
            add("self", "a", true);
        }

        void add(String name, String zone, boolean reachesEndpoints) {
            Address address = new Address("10.0.0.1", 80);
            hostTable.put(
                    name,
                    new EntryHost(
                            new HostId(name),
                            address,
                            new AvailabilityZone(zone),
                            address,
                            750,
                            reachesEndpoints));
        }

        Option<String> select() {
            return hosts.select(REMOTE, HashSet.empty()).map(host -> host.host().value());
        }
    }

    /** Hosts that can forward a call, and such that cannot. */
    public static final class Candidates extends Fixture {
        /** Guards against a call that is forwarded in a circle. */
        @Test
        public void hostItselfIsNeverSelected() {
            assertTrue(select().isEmpty());
            assertFalse(hosts.hasOthers());
        }

        /** Guards against calls to hosts that reach no endpoint either. */
        @Test
        public void hostsWithoutContactAreNotSelected() {
            add("other", "a", false);
            assertTrue(select().isEmpty());
            assertTrue(hosts.hasOthers());
        }

        /** Guards against asking a host again that has not taken the call. */
        @Test
        public void excludedHostIsNotSelected() {
            add("other", "a", true);
            assertTrue(hosts.select(REMOTE, HashSet.of(new HostId("other"))).isEmpty());
        }

        /** Guards against a host that is lost for good, or asked by every call, after a failure. */
        @Test
        public void hostIsAvoidedForAWhileAfterAFailure() {
            add("other", "a", true);
            hosts.recordFailure(new HostId("other"));
            assertTrue(select().isEmpty());
            scheduler.advance(Duration.ofMillis(1_001));
            assertEquals(select(), Option.some("other"));
        }
    }

    /** Hosts that may be cut off together. */
    public static final class Doubts extends Fixture {
        /** Guards against asking one host after another of a zone that is cut off as a whole. */
        @Test
        public void hostOfAnotherZoneFollowsOneThatDidNotTakeTheCall() {
            add("near-1", "a", true);
            add("near-2", "a", true);
            add("far", "c", true);
            HashSet<HostId> tried = HashSet.of(new HostId("near-1"));
            assertEquals(
                    hosts.select(REMOTE, tried).map(host -> host.host().value()),
                    Option.some("far"));
        }

        /** Guards against all calls of a second that each ask a host which reaches nothing. */
        @Test
        public void hostThatDidNotReachAnEndpointComesAfterOthers() {
            add("near", "a", true);
            add("far", "c", true);
            hosts.recordUnreachable(new HostId("near"));
            assertEquals(select(), Option.some("far"));
            scheduler.advance(Duration.ofMillis(1_001));
            assertEquals(select(), Option.some("near"));
        }

        /** Guards against a call that is refused although a host is left. */
        @Test
        public void doubtfulHostIsSelectedWhenItIsTheOnlyOne() {
            add("near", "a", true);
            hosts.recordUnreachable(new HostId("near"));
            assertEquals(select(), Option.some("near"));
        }
    }

    /** Selection among several hosts. */
    public static final class Costs extends Fixture {
        /** Guards against bytes that cross zones twice. */
        @Test
        public void hostOnTheWayIsPreferred() {
            add("elsewhere", "c", true);
            add("at-endpoint", "b", true);
            for (int i = 0; i < 5; i++) {
                assertEquals(select(), Option.some("at-endpoint"));
            }
        }

        /** Guards against a single host that receives the calls of all that are cut off. */
        @Test
        public void callsAreSpreadOverEqualHosts() {
            add("one", "a", true);
            add("two", "a", true);
            add("three", "b", true);
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                counts.merge(select().get(), 1, Integer::sum);
            }
            assertTrue(counts.values().stream().allMatch(count -> count > 80), "" + counts);
        }

        /** Guards against calls that count as in flight for ever. */
        @Test
        public void releasedCallsNoLongerCount() {
            add("near", "a", true);
            add("far", "c", true);
            for (int i = 0; i < 100; i++) {
                assertEquals(select(), Option.some("near"));
                hosts.release(new HostId("near"));
            }
        }

        /** Guards against a near host that is overloaded while far ones are idle. */
        @Test
        public void farHostIsUsedWhenTheNearOneHasMuchInFlight() {
            add("near", "a", true);
            add("far", "c", true);
            boolean usedFar = false;
            for (int i = 0; i < 40; i++) {
                usedFar |= select().contains("far");
            }
            assertTrue(usedFar);
        }
    }
}
