package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Asks for trials of suspected requests. Each request has one host that grants its trials, by
 * rendezvous hashing over the hosts that are known; without a reply the next one is asked, and in
 * the end this host decides alone. Thread-safe.
 */
final class TrialRequester {
    /** Hosts that are asked in turn; each costs its timeout when it does not reply. */
    private static final int MAXIMUM_HOSTS_ASKED = 2;

    /** Time for which a host that did not reply is passed over. */
    private static final Duration AVOIDANCE = Duration.ofSeconds(2);

    private final TableLock lock = new TableLock(LockRank.QUARANTINE);
    private final Map<HostId, Long> avoidedUntilNanos = new HashMap<>();
    private final HostId self;
    private final QuarantineChannel channel;
    private final Function<TrialKey, Verdict> verdicts;
    private final Consumer<Vector<SuspicionReport>> reportListener;
    private final TrialLedger ledger;
    private final Scheduler scheduler;

    /**
     * Creates a requester.
     *
     * @param verdicts returns what this host knows of a request
     * @param reportListener receives what other hosts know of a request
     */
    TrialRequester(
            HostId self,
            QuarantineChannel channel,
            Function<TrialKey, Verdict> verdicts,
            Consumer<Vector<SuspicionReport>> reportListener,
            TrialLedger ledger,
            Scheduler scheduler) {
        this.self = self;
        this.channel = channel;
        this.verdicts = verdicts;
        this.reportListener = reportListener;
        this.ledger = ledger;
        this.scheduler = scheduler;
    }

    /** The decision on a trial, and the host to be told of its end. */
    record Reply(TrialDecision decision, HostId grantedBy) {}

    /** Asks for a trial that ends within a time. The future never fails. */
    CompletableFuture<Reply> request(TrialKey key, Duration lease) {
        return request(key, lease, ranking(key.request()).take(MAXIMUM_HOSTS_ASKED));
    }

    /** Returns the host that grants the trials of a request, as far as this host knows. */
    HostId grantingHost(RequestFingerprint request) {
        return ranking(request).head();
    }

    private CompletableFuture<Reply> request(TrialKey key, Duration lease, Vector<HostId> hosts) {
        if (hosts.isEmpty() || hosts.head().equals(self)) {
            return CompletableFuture.completedFuture(decide(key, lease));
        }
        HostId host = hosts.head();
        return channel.requestTrial(host, key, lease)
                .thenCompose(reply -> onReply(key, lease, hosts, host, reply));
    }

    private CompletableFuture<Reply> onReply(
            TrialKey key,
            Duration lease,
            Vector<HostId> hosts,
            HostId host,
            Option<QuarantineChannel.TrialReply> reply) {
        if (reply.isEmpty()) {
            avoid(host);
            return request(key, lease, hosts.tail());
        }
        reportListener.accept(reply.get().reports());
        return CompletableFuture.completedFuture(new Reply(reply.get().decision(), host));
    }

    private Reply decide(TrialKey key, Duration lease) {
        TrialDecision decision =
                ledger.request(key, self, verdicts.apply(key), lease, scheduler.nanoTime());
        return new Reply(decision, self);
    }

    /** Ends a trial that was granted, at the host that has granted it. */
    void end(TrialKey key, HostId grantedBy, Vector<SuspicionReport> reports) {
        if (grantedBy.equals(self)) {
            ledger.end(key, self);
        } else {
            channel.endTrial(grantedBy, key, reports);
        }
    }

    private void avoid(HostId host) {
        long untilNanos = scheduler.nanoTime() + AVOIDANCE.toNanos();
        lock.run(() -> avoidedUntilNanos.put(host, untilNanos));
    }

    private Vector<HostId> ranking(RequestFingerprint request) {
        long nowNanos = scheduler.nanoTime();
        Vector<HostId> hosts = channel.others().append(self).distinct();
        return lock.withLock(
                        () -> {
                            avoidedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
                            return hosts.filter(host -> !avoidedUntilNanos.containsKey(host));
                        })
                .sortBy(host -> hash(request, host));
    }

    /** The generator mixes the bits of its seed: similar names would have similar hashes else. */
    private static long hash(RequestFingerprint request, HostId host) {
        long seed = request.low() ^ ((long) host.value().hashCode() << 32);
        return new SplittableRandom(seed).nextLong();
    }
}
