package org.tamarackfold.peer;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.StoreId;

/**
 * A storage host with the files that it holds.
 *
 * @param host the host
 * @param store the files; a host that has lost its disk comes back with another store
 * @param address where it accepts messages of other hosts
 * @param zone its availability zone
 */
public record Member(HostId host, StoreId store, Address address, AvailabilityZone zone) {}
