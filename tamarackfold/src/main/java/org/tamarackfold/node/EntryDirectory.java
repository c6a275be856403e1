package org.tamarackfold.node;

import io.vavr.collection.Vector;
import org.tamarackfold.id.Address;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.MemberTable;

/** Chooses the entry hosts that a caller is told to connect to. */
public final class EntryDirectory {
    /** Most addresses in an answer; callers use no more. */
    private static final int MAXIMUM_ADDRESSES = 64;

    private final MemberTable members;

    /** Creates a directory over the registered entry hosts. */
    public EntryDirectory(MemberTable members) {
        this.members = members;
    }

    /** Returns the addresses for a caller in the given availability zone, its own zone first. */
    public Vector<Address> addressesFor(String zone) {
        Vector<EntryHost> hosts = members.entryHosts();
        Vector<EntryHost> near = hosts.filter(host -> host.zone().value().equals(zone));
        Vector<EntryHost> far = hosts.reject(host -> host.zone().value().equals(zone));
        return near.appendAll(far).take(MAXIMUM_ADDRESSES).map(EntryHost::address);
    }
}
