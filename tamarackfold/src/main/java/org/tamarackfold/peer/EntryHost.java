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
 */
public record EntryHost(
        HostId host,
        Address address,
        AvailabilityZone zone,
        Address peerAddress,
        int processorMillis) {}
