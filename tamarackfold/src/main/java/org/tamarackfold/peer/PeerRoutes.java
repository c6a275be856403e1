package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.HostId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Sends requests of an entry host to storage hosts, directly or through another entry host while
 * the direct way fails.
 */
public final class PeerRoutes {
    private static final StructuredLog LOG = StructuredLog.of("routes");

    /** Time for which another entry host is asked before the direct way is tried again. */
    private static final Duration DETOUR_TIME = Duration.ofSeconds(2);

    private final TableLock lock = new TableLock(LockRank.MEMBERS);
    private final Map<Address, Long> detourUntil = new HashMap<>();
    private final HostId self;
    private final PeerChannel channel;
    private final MemberTable members;
    private final Scheduler scheduler;
    private final RandomGenerator random;

    /** Creates the routes of an entry host. */
    public PeerRoutes(
            HostId self,
            PeerChannel channel,
            MemberTable members,
            Scheduler scheduler,
            RandomGenerator random) {
        this.self = self;
        this.channel = channel;
        this.members = members;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Sends a request; a host that cannot be reached counts as unavailable. */
    CompletableFuture<PeerReply> send(Address address, PeerRequest request, Duration timeout) {
        Vector<EntryHost> others = members.entryHosts().reject(entry -> entry.host().equals(self));
        if (others.isEmpty() || !isOnDetour(address)) {
            return channel.send(address, request, timeout)
                    .thenApply(reply -> observed(address, reply));
        }
        EntryHost relay = others.get(random.nextInt(others.size()));
        return channel.send(relay.peerAddress(), new PeerRequest.Relay(address, request), timeout);
    }

    private boolean isOnDetour(Address address) {
        return lock.locked(
                () -> {
                    Long until = detourUntil.get(address);
                    if (until == null) {
                        return false;
                    }
                    if (until - scheduler.nanoTime() > 0) {
                        return true;
                    }
                    detourUntil.remove(address);
                    return false;
                });
    }

    private PeerReply observed(Address address, PeerReply reply) {
        if (reply instanceof PeerReply.Unreachable(String reason)) {
            long until = scheduler.nanoTime() + DETOUR_TIME.toNanos();
            lock.run(() -> detourUntil.put(address, until));
            LOG.event("detour").with("address", address).with("reason", reason).info();
        }
        return reply;
    }
}
