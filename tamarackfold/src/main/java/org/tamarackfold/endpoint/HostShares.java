package org.tamarackfold.endpoint;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;

/**
 * How the hosts of the fleet share the calls that a rate-limited endpoint takes. Each slot of an
 * endpoint belongs to one host, by weighted rendezvous hashing: hosts with the same view agree
 * without messages, and a host that joins or leaves moves only its own slots. Immutable.
 */
public final class HostShares {
    private final HostId self;
    private final Vector<WeightedHost> hosts;
    private final double ownShare;

    private record WeightedHost(HostId host, double weight) {}

    private HostShares(HostId self, Map<HostId, Double> weightByHost) {
        this.self = self;
        this.hosts = weightByHost.toVector().map(entry -> new WeightedHost(entry._1, entry._2));
        double totalWeight = weightByHost.values().sum().doubleValue();
        this.ownShare = weightByHost.get(self).get() / totalWeight;
    }

    /**
     * Creates the shares as a host sees them.
     *
     * @param self this host
     * @param weightByHost the weights of all hosts, above 0; this host must be among them
     */
    public static HostShares of(HostId self, Map<HostId, Double> weightByHost) {
        return new HostShares(self, weightByHost);
    }

    /** Returns the part of all slots that belongs to this host, above 0 and up to 1. */
    public double ownShare() {
        return ownShare;
    }

    /** Returns whether a slot of an endpoint belongs to this host. */
    boolean isOwnSlot(EndpointId endpoint, long slot) {
        HostId owner = self;
        double lowestScore = Double.POSITIVE_INFINITY;
        for (WeightedHost candidate : hosts) {
            double score = -Math.log(hash(endpoint, slot, candidate.host())) / candidate.weight();
            if (score < lowestScore) {
                lowestScore = score;
                owner = candidate.host();
            }
        }
        return owner.equals(self);
    }

    /** Returns a hash above 0 and below 1. */
    private static double hash(EndpointId endpoint, long slot, HostId host) {
        long names = ((long) endpoint.value().hashCode() << 32) ^ host.value().hashCode();
        long mixed = mix(mix(names) ^ slot);
        return ((mixed >>> 12) + 0.5) / (1L << 52);
    }

    /** Finalizer of SplitMix64; without it, consecutive slots would belong to the same host. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
