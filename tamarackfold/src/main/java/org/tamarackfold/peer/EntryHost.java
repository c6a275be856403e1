package org.tamarackfold.peer;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;

/**
 * An entry host that is registered in the key-value service.
 *
 * @param host the host name
 * @param address the address at which it accepts calls
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts messages from other hosts
 * @param processorMillis its share of processor time, in thousandths of a core
 * @param reachesEndpoints whether it reaches any endpoint itself; otherwise it needs other entry
 *     hosts to forward its calls
 */
public record EntryHost(
        HostId host,
        Address address,
        AvailabilityZone zone,
        Address peerAddress,
        int processorMillis,
        boolean reachesEndpoints) {
    /** Creates the registration of a host that reaches endpoints. */
    public EntryHost(
            HostId host,
            Address address,
            AvailabilityZone zone,
            Address peerAddress,
            int processorMillis) {
        this(host, address, zone, peerAddress, processorMillis, true);
    }

    /** Returns a copy of this registration with another statement about endpoints. */
    public EntryHost withReachesEndpoints(boolean value) {
        return new EntryHost(host, address, zone, peerAddress, processorMillis, value);
    }
}
