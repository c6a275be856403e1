package org.tamarackfold.endpoint;

import io.vavr.collection.HashMap;
import java.time.InstantSource;
import java.util.Random;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;

/** Creates endpoint tables of hosts in the availability zone "a". */
public final class EndpointTables {
    private EndpointTables() {}

    /** Creates the table of the only host of its fleet. */
    public static EndpointTable ofSingleHost() {
        return ofHost("host-0", 1);
    }

    /** Creates the table of a host in a fleet of equal hosts, host-0 and following. */
    public static EndpointTable ofHost(String host, int fleetSize) {
        return new EndpointTable(
                new AvailabilityZone("a"),
                new Random(1),
                () -> shares(host, fleetSize),
                InstantSource.system());
    }

    /** Returns the shares of a fleet of equal hosts, host-0 and following, as a host sees them. */
    public static HostShares shares(String self, int fleetSize) {
        HashMap<HostId, Double> weights = HashMap.empty();
        for (int i = 0; i < fleetSize; i++) {
            weights = weights.put(new HostId("host-" + i), 1.0);
        }
        return HostShares.of(new HostId(self), weights);
    }
}
