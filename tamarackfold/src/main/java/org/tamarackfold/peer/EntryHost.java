package org.tamarackfold.peer;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;

/**
 * A live entry host.
 *
 * @param host the host
 * @param address where it accepts calls
 * @param zone its availability zone
 * @param peerAddress where it accepts messages of other hosts
 */
public record EntryHost(HostId host, Address address, AvailabilityZone zone, Address peerAddress) {}
