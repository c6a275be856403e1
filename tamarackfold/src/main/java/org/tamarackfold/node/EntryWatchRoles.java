package org.tamarackfold.node;

import io.vavr.collection.Vector;
import java.util.function.Supplier;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.relay.RelaySources;
import org.tamarackfold.keyvalue.relay.WatchRole;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HostTable;

/** Decides from the registered hosts how an entry host learns of changes. Thread-safe. */
public final class EntryWatchRoles implements Supplier<WatchRole> {
    private final HostId self;
    private final AvailabilityZone zone;
    private final HostTable hostTable;
    private volatile CachedRole cached;

    private record CachedRole(Vector<EntryHost> hosts, WatchRole role) {}

    /**
     * Creates the roles of a host.
     *
     * @param self this host, which may be unregistered
     * @param zone its zone
     * @param hostTable the registered hosts
     */
    public EntryWatchRoles(HostId self, AvailabilityZone zone, HostTable hostTable) {
        this.self = self;
        this.zone = zone;
        this.hostTable = hostTable;
    }

    @Override
    public WatchRole get() {
        Vector<EntryHost> hosts = hostTable.entryHosts();
        CachedRole current = cached;
        if (current == null || current.hosts() != hosts) {
            current = new CachedRole(hosts, roleAmong(hosts));
            cached = current;
        }
        return current.role();
    }

    private WatchRole roleAmong(Vector<EntryHost> hosts) {
        Vector<EntryHost> sameZone = hosts.filter(host -> host.zone().equals(zone));
        return RelaySources.roleOf(self, zone, sameZone, ActiveEntryHosts.ofZone(sameZone));
    }
}
