package org.tamarackfold.node;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.tamarackfold.endpoint.FleetView;
import org.tamarackfold.endpoint.HostShares;
import org.tamarackfold.id.HostId;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HostTable;

/**
 * The registered entry hosts, as senders of calls. Active hosts have equal shares, because callers
 * pick any of the addresses that the directory names.
 */
public final class EntryFleet implements FleetView {
    private static final double ACTIVE_WEIGHT = 1;

    /**
     * Callers may still use a host on standby: those of a stale directory response. Small, because
     * several hosts stand by for each active one.
     */
    private static final double STANDBY_WEIGHT = 0.01;

    /**
     * Callers keep an address for some seconds after the directory has left out a host that reaches
     * no endpoint, and such a host still needs a part of each limit for them.
     */
    private static final double WITHOUT_CONTACT_WEIGHT = 0.2;

    private final HostId self;
    private final HostTable hostTable;
    private volatile CachedShares cached;

    private record CachedShares(Vector<EntryHost> hosts, HostShares shares) {}

    /**
     * Creates the view of a host.
     *
     * @param self this host, which has a share also while it is not registered
     * @param hostTable the registered hosts
     */
    public EntryFleet(HostId self, HostTable hostTable) {
        this.self = self;
        this.hostTable = hostTable;
    }

    @Override
    public HostShares shares() {
        Vector<EntryHost> hosts = hostTable.entryHosts();
        CachedShares current = cached;
        if (current == null || current.hosts() != hosts) {
            current = new CachedShares(hosts, HostShares.of(self, weights(hosts)));
            cached = current;
        }
        return current.shares();
    }

    /** Returns the active entry hosts that reach endpoints; the same on all hosts of a view. */
    public Vector<EntryHost> activeHosts() {
        return active(ActiveEntryHosts.withContact(hostTable.entryHosts()));
    }

    private static Vector<EntryHost> active(Vector<EntryHost> hosts) {
        return Vector.ofAll(hosts.groupBy(EntryHost::zone).values())
                .flatMap(ActiveEntryHosts::ofZone);
    }

    private Map<HostId, Double> weights(Vector<EntryHost> hosts) {
        Map<HostId, Double> weights =
                HashMap.ofEntries(hosts.map(host -> Tuple.of(host.host(), STANDBY_WEIGHT)));
        for (EntryHost host : active(hosts)) {
            weights = weights.put(host.host(), WITHOUT_CONTACT_WEIGHT);
        }
        for (EntryHost host : active(ActiveEntryHosts.withContact(hosts))) {
            weights = weights.put(host.host(), ACTIVE_WEIGHT);
        }
        return weights.containsKey(self) ? weights : weights.put(self, ACTIVE_WEIGHT);
    }
}
