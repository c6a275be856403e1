package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;

import io.vavr.collection.Vector;
import java.time.Duration;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How long entry hosts are remembered without a registration. */
public final class RecentHostsTest {
    private RecentHostsTest() {}

    /** The host "self" and two others, of which "b" has lost its registration. */
    public static final class LostRegistrations {
        private VirtualScheduler scheduler;
        private RecentHosts hosts;

        /** Creates the fleet. */
        @BeforeMethod
        public void start() {
            scheduler = new VirtualScheduler();
            HostTable hostTable = new HostTable();
            hosts = new RecentHosts(new HostId("self"), hostTable, scheduler);
            for (String name : new String[] {"self", "a", "b"}) {
                Address address = new Address("10.0.0.1", 80);
                HostId host = new HostId(name);
                hostTable.put(
                        name,
                        new EntryHost(host, address, new AvailabilityZone("z"), address, 750));
            }
            assertEquals(names(), Vector.of("a", "b"));
            scheduler.advance(Duration.ofHours(1));
            hostTable.remove("b");
        }

        private Vector<String> names() {
            return hosts.hosts().map(host -> host.host().value());
        }

        private Vector<String> namesAfter(Duration duration) {
            for (long second = 0; second < duration.toSeconds(); second++) {
                names();
                scheduler.advance(Duration.ofSeconds(1));
            }
            return names();
        }

        /** Guards against a host that is forgotten in an outage of the key-value service. */
        @Test
        public void areRememberedForMinutes() {
            assertEquals(namesAfter(Duration.ofSeconds(295)), Vector.of("a", "b"));
        }

        /**
         * Guards against messages without end to the address of a host that is gone, where another
         * process may listen.
         */
        @Test
        public void areForgottenThoughNoOtherRegistrationChanges() {
            assertEquals(namesAfter(Duration.ofSeconds(320)), Vector.of("a"));
        }
    }
}
