package org.tamarackfold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HostTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Load pattern: many entry hosts of unequal size before few endpoints. */
public final class EntryDirectoryTest {
    private EntryDirectoryTest() {}

    /** A directory over a table of hosts. */
    abstract static class Fixture {
        final HostTable hostTable = new HostTable();
        final EntryDirectory directory = new EntryDirectory(hostTable);

        /** Removes the hosts of the test before. */
        @BeforeMethod
        public void clear() {
            hostTable.clear();
        }

        static Address address(String host) {
            return new Address("10." + Math.floorMod(host.hashCode(), 250) + ".0." + host, 80);
        }

        void add(String zone, String host, int processorMillis) {
            add(zone, host, processorMillis, true);
        }

        void add(String zone, String host, int processorMillis, boolean reachesEndpoints) {
            hostTable.put(
                    host,
                    new EntryHost(
                            new HostId(host),
                            address(host),
                            new AvailabilityZone(zone),
                            address(host),
                            processorMillis,
                            reachesEndpoints));
        }

        void addZone(String zone, int large, int small) {
            for (int i = 0; i < small; i++) {
                add(zone, zone + "-a-small-" + i, 360);
            }
            for (int i = 0; i < large; i++) {
                add(zone, zone + "-b-large-" + i, 750);
            }
        }
    }

    /** Zones with many entry hosts. */
    public static final class LargeZones extends Fixture {
        /** Guards against load that is spread over so many hosts that none knows its endpoints. */
        @Test
        public void largestHostsOfTheZoneAreActive() {
            addZone("a", 3, 12);
            addZone("b", 3, 10);
            Vector<Address> addresses = directory.addressesFor("a");
            assertEquals(
                    HashSet.ofAll(addresses),
                    HashSet.of("a-b-large-0", "a-b-large-1", "a-b-large-2").map(Fixture::address));
        }

        /** Guards against an active set that grows or shrinks with the size of the fleet only. */
        @Test
        public void activeHostsHoldAThirdOfTheCapacity() {
            addZone("a", 0, 30);
            assertEquals(directory.addressesFor("a").size(), 10);
        }

        /** Guards against callers that are sent to a host which has left. */
        @Test
        public void hostOnStandbyReplacesALostOne() {
            addZone("a", 3, 12);
            hostTable.remove("a-b-large-1");
            Vector<Address> addresses = directory.addressesFor("a");
            assertFalse(addresses.contains(address("a-b-large-1")));
            assertTrue(addresses.size() >= 3, "addresses: " + addresses);
        }

        /** Guards against a caller whose zone is unknown, or has no hosts, and gets no address. */
        @Test
        public void callerOfAnotherZoneGetsAllHosts() {
            addZone("a", 3, 12);
            assertEquals(directory.addressesFor("elsewhere").size(), 15);
        }
    }

    /** Zones with few entry hosts, where each one is needed. */
    public static final class SmallZones extends Fixture {
        /** Guards against callers that depend on the one or two hosts of their zone. */
        @Test
        public void allHostsAreReturnedThoseOfTheZoneFirst() {
            addZone("a", 1, 1);
            addZone("b", 1, 1);
            Vector<Address> addresses = directory.addressesFor("b");
            assertEquals(addresses.size(), 4);
            assertTrue(addresses.take(2).forAll(a -> a.ip().contains("b-")), "" + addresses);
        }
    }

    /** Hosts that reach no endpoint themselves. */
    public static final class HostsWithoutContact extends Fixture {
        /** Guards against callers that are sent to a host which needs others for their calls. */
        @Test
        public void areNotReturnedWhileOthersReachEndpoints() {
            add("a", "a-cut", 750, false);
            add("b", "b-1", 750);
            assertEquals(directory.addressesFor("a"), Vector.of(address("b-1")));
        }

        /** Guards against a zone whose active hosts are all cut off while some stand by. */
        @Test
        public void hostsOnStandbyReplaceThem() {
            addZone("a", 3, 12);
            for (int i = 0; i < 3; i++) {
                add("a", "a-b-large-" + i, 750, false);
            }
            Vector<Address> addresses = directory.addressesFor("a");
            assertTrue(addresses.size() >= 3, "addresses: " + addresses);
            assertFalse(addresses.exists(a -> a.ip().contains("large")), "" + addresses);
        }

        /** Guards against an empty directory when the endpoints of all hosts are down. */
        @Test
        public void areReturnedWhenNoHostReachesEndpoints() {
            add("a", "a-1", 750, false);
            add("b", "b-1", 750, false);
            assertEquals(directory.addressesFor("a").size(), 2);
        }
    }
}
