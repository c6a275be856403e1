package org.tamarackfold.peer;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Failure detector for storage hosts. It counts consecutive missed pings. A ping is missed when no
 * reply in time says that the host is alive; a host whose disk is stalled does not say so. A host
 * that replies with another store than expected has lost its data. Thread-safe.
 */
public final class FailureDetector {
    private static final StructuredLog LOG = StructuredLog.of("monitor");

    /** Interval between two pings of a host. */
    private static final Duration PING_INTERVAL = Duration.ofMillis(200);

    /** Timeout of one ping. */
    private static final Duration PING_TIMEOUT = Duration.ofMillis(300);

    /**
     * Consecutive missed pings after which a host is suspected. A false suspicion only moves
     * shards; it loses no records.
     */
    private static final int MISSES_TO_SUSPECT = 3;

    /**
     * Consecutive missed pings after which a host is replaced even if its shards still have their
     * write quorum. A killed process restarts within these 2 s and still has its records.
     */
    private static final int MISSES_TO_DECLARE_DEAD = 10;

    private final TableLock lock = new TableLock(LockRank.HOSTS);
    private final Map<StoreId, Integer> misses = new HashMap<>();
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private final HostId self;
    private Set<StorageHost> monitoredHosts = HashSet.empty();

    /** Creates a failure detector; {@link #start()} starts the pings. */
    public FailureDetector(HostId self, PeerChannel channel, Scheduler scheduler) {
        this.self = self;
        this.channel = channel;
        this.scheduler = scheduler;
    }

    /** Starts the periodic pings of the hosts to monitor. */
    public void start() {
        pingMonitoredHosts();
    }

    /** Sets the hosts to ping; the counts of all other hosts are dropped. */
    void setMonitoredHosts(Set<StorageHost> hosts) {
        lock.run(
                () -> {
                    monitoredHosts = hosts;
                    misses.keySet().retainAll(hosts.map(StorageHost::store).toJavaSet());
                });
    }

    /** Returns whether a host has missed enough consecutive pings to be suspected. */
    boolean isSuspected(StorageHost host) {
        return lock.withLock(() -> misses.getOrDefault(host.store(), 0) >= MISSES_TO_SUSPECT);
    }

    /**
     * Returns whether a host must be replaced, because it has missed too many consecutive pings or
     * has lost its store.
     */
    boolean isDead(StorageHost host) {
        return lock.withLock(() -> misses.getOrDefault(host.store(), 0) >= MISSES_TO_DECLARE_DEAD);
    }

    private void pingMonitoredHosts() {
        for (StorageHost host : lock.withLock(() -> monitoredHosts)) {
            channel.send(host.address(), new PeerRequest.Ping(self), PING_TIMEOUT)
                    .thenAccept(reply -> onPingReply(host, reply));
        }
        scheduler.after(PING_INTERVAL, this::pingMonitoredHosts);
    }

    private void onPingReply(StorageHost host, PeerReply reply) {
        boolean alive =
                reply instanceof PeerReply.Alive(StoreId store) && store.equals(host.store());
        boolean otherStore = reply instanceof PeerReply.Alive && !alive;
        MissCount count = lock.withLock(() -> countReply(host.store(), alive, otherStore));
        int previousMisses = count.previous();
        int currentMisses = count.current();
        boolean wasSuspected = previousMisses >= MISSES_TO_SUSPECT;
        boolean isSuspected = currentMisses >= MISSES_TO_SUSPECT;
        if (wasSuspected != isSuspected) {
            LOG.event(isSuspected ? "host_lost" : "host_regained")
                    .with("host", host.host())
                    .with("store", host.store())
                    .with("misses", isSuspected ? currentMisses : previousMisses)
                    .with("other_store", otherStore)
                    .info();
        }
    }

    /** Consecutive missed pings of a host before and after a reply. */
    private record MissCount(int previous, int current) {}

    private MissCount countReply(StoreId store, boolean alive, boolean otherStore) {
        int previous = misses.getOrDefault(store, 0);
        int current = alive ? 0 : otherStore ? MISSES_TO_DECLARE_DEAD : previous + 1;
        misses.put(store, current);
        return new MissCount(previous, current);
    }
}
