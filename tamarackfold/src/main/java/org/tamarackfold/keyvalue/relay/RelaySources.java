package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Vector;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.peer.EntryHost;

/**
 * Decides which entry hosts of a zone are sources. Hosts with the same view of the zone agree
 * without messages; a host that comes or goes changes few sources.
 */
public final class RelaySources {
    /** Number of sources of a zone: followers go on without a pause when one is lost. */
    private static final int SOURCES_PER_ZONE = 2;

    /** Zones with no more hosts than this have no sources: few watches would be saved. */
    private static final int LARGEST_ZONE_WITHOUT_SOURCES = 4;

    private RelaySources() {}

    /**
     * Returns the role of a host.
     *
     * @param self the host, which may be unregistered
     * @param zone its zone
     * @param registered the registered entry hosts of the zone
     * @param active the active ones among them, which have the most processor time
     */
    public static WatchRole roleOf(
            HostId self,
            AvailabilityZone zone,
            Vector<EntryHost> registered,
            Vector<EntryHost> active) {
        if (registered.size() <= LARGEST_ZONE_WITHOUT_SOURCES) {
            return new WatchRole.Watcher();
        }
        Vector<EntryHost> sources = sources(zone, registered, active);
        return sources.exists(source -> source.host().equals(self))
                ? new WatchRole.Source()
                : new WatchRole.Follower(sources);
    }

    private static Vector<EntryHost> sources(
            AvailabilityZone zone, Vector<EntryHost> registered, Vector<EntryHost> active) {
        Vector<EntryHost> candidates = active.size() >= SOURCES_PER_ZONE ? active : registered;
        return candidates
                .sortBy(host -> hash(zone.value(), host.host().value()))
                .take(SOURCES_PER_ZONE);
    }

    /** Returns the rendezvous hash of two names. */
    static int hash(String first, String second) {
        return mix(mix(first.hashCode()) ^ second.hashCode());
    }

    /** Finalizer of MurmurHash3; without it, similar names would have similar hashes. */
    private static int mix(int value) {
        int mixed = (value ^ (value >>> 16)) * 0x85EBCA6B;
        mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
        return mixed ^ (mixed >>> 16);
    }
}
