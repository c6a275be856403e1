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
 * Sends the requests of an entry host to storage hosts. When a storage host cannot be reached
 * directly, requests to it are relayed by another entry host for {@link #RELAY_PERIOD}.
 * Thread-safe.
 */
public final class StorageRequestSender {
    private static final StructuredLog LOG = StructuredLog.of("peer");

    /** Time for which requests are relayed before the storage host is contacted directly again. */
    private static final Duration RELAY_PERIOD = Duration.ofSeconds(2);

    private final TableLock lock = new TableLock(LockRank.HOSTS);
    private final Map<Address, Long> relayUntilNanos = new HashMap<>();
    private final HostId self;
    private final PeerChannel channel;
    private final HostTable hostTable;
    private final Scheduler scheduler;
    private final RandomGenerator random;

    /** Creates a sender for the given entry host. */
    public StorageRequestSender(
            HostId self,
            PeerChannel channel,
            HostTable hostTable,
            Scheduler scheduler,
            RandomGenerator random) {
        this.self = self;
        this.channel = channel;
        this.hostTable = hostTable;
        this.scheduler = scheduler;
        this.random = random;
    }

    /**
     * Sends a request directly or through a relay. The future never fails; it completes with {@link
     * PeerReply.Unreachable} when the storage host, or the relay, does not reply in time.
     */
    CompletableFuture<PeerReply> send(Address address, PeerRequest request, Duration timeout) {
        Vector<EntryHost> otherEntryHosts =
                hostTable.entryHosts().reject(entry -> entry.host().equals(self));
        if (!usesRelay(address) || otherEntryHosts.isEmpty()) {
            return channel.send(address, request, timeout)
                    .thenApply(reply -> recordReply(address, reply));
        }
        EntryHost relay = otherEntryHosts.get(random.nextInt(otherEntryHosts.size()));
        return channel.send(relay.peerAddress(), new PeerRequest.Relay(address, request), timeout)
                .thenApply(StorageRequestSender::fromRelay);
    }

    /** An overloaded relay says nothing about the storage host, and another relay may be free. */
    private static PeerReply fromRelay(PeerReply reply) {
        return reply instanceof PeerReply.Overloaded(String reason)
                ? new PeerReply.Unreachable("relay overloaded, " + reason)
                : reply;
    }

    private boolean usesRelay(Address address) {
        return lock.withLock(
                () -> {
                    Long untilNanos = relayUntilNanos.get(address);
                    if (untilNanos == null) {
                        return false;
                    }
                    if (untilNanos - scheduler.nanoTime() > 0) {
                        return true;
                    }
                    relayUntilNanos.remove(address);
                    return false;
                });
    }

    private PeerReply recordReply(Address address, PeerReply reply) {
        if (reply instanceof PeerReply.Unreachable(String reason)) {
            long untilNanos = scheduler.nanoTime() + RELAY_PERIOD.toNanos();
            boolean alreadyFailed =
                    lock.withLock(() -> relayUntilNanos.put(address, untilNanos) != null);
            if (!alreadyFailed) {
                LOG.event("direct_send_failed")
                        .with("address", address)
                        .with("reason", reason)
                        .info();
            }
        }
        return reply;
    }
}
