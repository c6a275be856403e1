package org.tamarackfold.node;

import io.vavr.collection.Vector;
import org.tamarackfold.id.Address;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HostTable;

/** Selects the entry hosts whose addresses the directory returns to callers. */
public final class EntryDirectory {
    /** Maximum number of addresses in a directory response; callers use no more. */
    private static final int MAXIMUM_ADDRESSES = 64;

    private final HostTable hostTable;

    /** Creates a directory that reads the entry hosts from the given table on each request. */
    public EntryDirectory(HostTable hostTable) {
        this.hostTable = hostTable;
    }

    /**
     * Returns the addresses of the registered entry hosts, those in the given availability zone
     * first; empty when no entry host is registered.
     *
     * @param zone the name of the caller's zone; an unknown or empty name prefers no host
     */
    public Vector<Address> addressesFor(String zone) {
        Vector<EntryHost> hosts = hostTable.entryHosts();
        Vector<EntryHost> sameZone = hosts.filter(host -> host.zone().value().equals(zone));
        Vector<EntryHost> otherZones = hosts.reject(host -> host.zone().value().equals(zone));
        return sameZone.appendAll(otherZones).take(MAXIMUM_ADDRESSES).map(EntryHost::address);
    }
}
