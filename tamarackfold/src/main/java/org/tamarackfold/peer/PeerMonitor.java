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

/** Finds out by pings which storage hosts are reachable with the files that they had. */
public final class PeerMonitor {
    private static final StructuredLog LOG = StructuredLog.of("monitor");

    /** Pause between two pings of a host. */
    private static final Duration INTERVAL = Duration.ofMillis(200);

    /** Longest wait for the answer to a ping. */
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    /**
     * Pings missed in a row from which a host is suspected; a wrong suspicion moves shards only.
     */
    private static final int MISSES_TO_SUSPECT = 3;

    /**
     * Pings missed in a row from which a host is replaced although its shards work without it. A
     * killed process is back in less than these 2 s and keeps its records.
     */
    private static final int MISSES_TO_REPLACE = 10;

    private final TableLock lock = new TableLock(LockRank.MEMBERS);
    private final Map<StoreId, Integer> misses = new HashMap<>();
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private final HostId self;
    private Set<Member> watched = HashSet.empty();

    /** Creates a monitor. */
    public PeerMonitor(HostId self, PeerChannel channel, Scheduler scheduler) {
        this.self = self;
        this.channel = channel;
        this.scheduler = scheduler;
    }

    /** Starts to ping. */
    public void start() {
        round();
    }

    /** Sets the hosts to ping. */
    void watch(Set<Member> members) {
        lock.run(
                () -> {
                    watched = members;
                    misses.keySet().retainAll(members.map(Member::store).toJavaSet());
                });
    }

    /** Tells whether a host has missed several pings in a row. */
    boolean isSuspected(Member member) {
        return lock.locked(() -> misses.getOrDefault(member.store(), 0) >= MISSES_TO_SUSPECT);
    }

    /** Tells whether a host is away for so long, or with its files, that others replace it. */
    boolean isGone(Member member) {
        return lock.locked(() -> misses.getOrDefault(member.store(), 0) >= MISSES_TO_REPLACE);
    }

    private void round() {
        for (Member member : lock.locked(() -> watched)) {
            channel.send(member.address(), new PeerRequest.Ping(self), TIMEOUT)
                    .thenAccept(reply -> answered(member, reply));
        }
        scheduler.after(INTERVAL, this::round);
    }

    private void answered(Member member, PeerReply reply) {
        boolean alive =
                reply instanceof PeerReply.Alive(StoreId store) && store.equals(member.store());
        boolean otherStore = reply instanceof PeerReply.Alive && !alive;
        int before = lock.locked(() -> misses.getOrDefault(member.store(), 0));
        int now = alive ? 0 : otherStore ? MISSES_TO_REPLACE : before + 1;
        lock.run(() -> misses.put(member.store(), now));
        boolean suspectedBefore = before >= MISSES_TO_SUSPECT;
        boolean suspectedNow = now >= MISSES_TO_SUSPECT;
        if (suspectedBefore != suspectedNow) {
            LOG.event(suspectedNow ? "host_lost" : "host_regained")
                    .with("host", member.host())
                    .with("store", member.store())
                    .with("misses", suspectedNow ? now : before)
                    .with("other_store", otherStore)
                    .info();
        }
    }
}
