package org.tamarackfold.node;

import io.vavr.collection.Vector;
import org.tamarackfold.id.Address;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HostTable;

/**
 * Selects the entry hosts whose addresses the directory returns to callers. In a zone with many
 * entry hosts, only the largest ones are returned, as many as hold a third of its capacity; the
 * others stand by. A few hosts that each see much of the load know their endpoints better, keep
 * connections to them in use, and leave the zone less often than callers that pick any host. Hosts
 * that reach no endpoint themselves are not returned while others do.
 */
public final class EntryDirectory {
    /** Maximum number of addresses in a directory response; callers use no more. */
    private static final int MAXIMUM_ADDRESSES = 64;

    private final HostTable hostTable;

    /** Creates a directory that reads the entry hosts from the given table on each request. */
    public EntryDirectory(HostTable hostTable) {
        this.hostTable = hostTable;
    }

    /**
     * Returns the addresses of the entry hosts that callers of a zone use: the active ones of the
     * zone, or, when the zone has too few hosts, all hosts with those of the zone first. Empty when
     * no entry host is registered.
     *
     * @param zone the name of the caller's zone; an unknown or empty name prefers no host
     */
    public Vector<Address> addressesFor(String zone) {
        Vector<EntryHost> hosts = ActiveEntryHosts.withContact(hostTable.entryHosts());
        Vector<EntryHost> sameZone = hosts.filter(host -> host.zone().value().equals(zone));
        Vector<EntryHost> returned =
                ActiveEntryHosts.hasStandbys(sameZone)
                        ? ActiveEntryHosts.ofZone(sameZone)
                        : sameZone.appendAll(hosts.removeAll(sameZone));
        return returned.take(MAXIMUM_ADDRESSES).map(EntryHost::address);
    }
}
