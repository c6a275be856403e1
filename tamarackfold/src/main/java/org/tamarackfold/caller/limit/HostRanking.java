package org.tamarackfold.caller.limit;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;

/**
 * Ranks hosts for a customer by rendezvous hashing: hosts with the same view agree without
 * messages, and a host that joins or leaves changes only the customers that it owns.
 */
final class HostRanking {
    private HostRanking() {}

    /** Returns the hosts with the two highest hashes, the highest first. */
    static Vector<HostId> firstTwo(CustomerName customer, Iterable<HostId> hosts) {
        Option<HostId> first = Option.none();
        Option<HostId> second = Option.none();
        for (HostId host : hosts) {
            if (first.isEmpty() || isAhead(customer, host, first.get())) {
                second = first;
                first = Option.some(host);
            } else if (second.isEmpty() || isAhead(customer, host, second.get())) {
                second = Option.some(host);
            }
        }
        return first.toVector().appendAll(second);
    }

    private static boolean isAhead(CustomerName customer, HostId host, HostId other) {
        int order = Long.compareUnsigned(hash(customer, host), hash(customer, other));
        return order > 0 || (order == 0 && host.compareTo(other) < 0);
    }

    /** Finalizer of SplitMix64 over both names. */
    private static long hash(CustomerName customer, HostId host) {
        long names = ((long) customer.value().hashCode() << 32) ^ host.value().hashCode();
        long mixed = (names ^ (names >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
