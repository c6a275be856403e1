package org.tamarackfold.node;

import io.vavr.collection.Vector;
import org.tamarackfold.peer.EntryHost;

/** Decides which entry hosts of a zone are active; the others stand by. */
final class ActiveEntryHosts {
    /**
     * Fewest active hosts of a zone. Callers exclude an address that has failed them, so a zone
     * whose only active host was killed would be without one until its registration expires.
     */
    private static final int MINIMUM_ACTIVE_HOSTS = 3;

    /** Active hosts hold at least one part in this many of the capacity of their zone. */
    private static final int ACTIVE_CAPACITY_DIVISOR = 3;

    private ActiveEntryHosts() {}

    /**
     * Returns the hosts that reach endpoints themselves; all hosts when none does, because the
     * endpoints are down then and no host is better than another.
     */
    static Vector<EntryHost> withContact(Vector<EntryHost> hosts) {
        Vector<EntryHost> reaching = hosts.filter(EntryHost::reachesEndpoints);
        return reaching.isEmpty() ? hosts : reaching;
    }

    /** Returns whether a zone has more hosts than the fewest that must be active. */
    static boolean hasStandbys(Vector<EntryHost> zoneHosts) {
        return zoneHosts.size() > MINIMUM_ACTIVE_HOSTS;
    }

    /** Returns the largest hosts of a zone; of equal ones, those with the first names. */
    static Vector<EntryHost> ofZone(Vector<EntryHost> zoneHosts) {
        if (!hasStandbys(zoneHosts)) {
            return zoneHosts;
        }
        long capacity = zoneHosts.map(EntryHost::processorMillis).sum().longValue();
        Vector<EntryHost> bySize = zoneHosts.sortBy(host -> -host.processorMillis());
        long activeCapacity = 0;
        int count = 0;
        while (count < MINIMUM_ACTIVE_HOSTS
                || activeCapacity * ACTIVE_CAPACITY_DIVISOR < capacity) {
            activeCapacity += bySize.get(count).processorMillis();
            count++;
        }
        return bySize.take(count);
    }
}
