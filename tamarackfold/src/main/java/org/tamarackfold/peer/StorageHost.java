package org.tamarackfold.peer;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.StoreId;

/**
 * A storage host and the identity of its data files.
 *
 * @param host the host name
 * @param store the identity of its data files; a host that has lost its disk registers again with a
 *     new one
 * @param address the address at which it accepts messages from other hosts
 * @param zone its availability zone
 */
public record StorageHost(HostId host, StoreId store, Address address, AvailabilityZone zone) {}
