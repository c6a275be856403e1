package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.tamarackfold.endpoint.cost.LearnedPlacement;
import org.tamarackfold.endpoint.cost.LoadAggregate;
import org.tamarackfold.endpoint.cost.LoadReport;
import org.tamarackfold.endpoint.cost.LoadTotals;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Reports the load that this host observes to the aggregating host of each service, and applies the
 * totals that it replies with. Has no timer while there is nothing to report. Thread-safe.
 */
public final class LoadReporter {
    private static final StructuredLog LOG = StructuredLog.of("load");

    /** Mean interval of reports; a turn takes longer, so that few totals miss it altogether. */
    private static final long INTERVAL_MILLIS = 100;

    /** Largest part of the interval by which a report is sent earlier or later. */
    private static final double JITTER = 0.2;

    /**
     * Time for which a host that did not reply is passed over; the totals of its successor are
     * complete after one interval.
     */
    private static final Duration AVOIDANCE = Duration.ofSeconds(2);

    private final HostId self;
    private final Supplier<Vector<EntryHost>> activeHosts;
    private final LearnedPlacement placement;
    private final LoadAggregate aggregate;
    private final LoadChannel channel;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private final TableLock lock = new TableLock(LockRank.FORWARDING);
    private final Map<HostId, Long> avoidedUntilNanos = new HashMap<>();

    /**
     * Creates the reporter of a host; it begins with the first call that the placement starts.
     *
     * @param activeHosts returns the active entry hosts
     * @param placement what this host has learned
     * @param aggregate the totals of the services that this host is the aggregating host of
     */
    public LoadReporter(
            HostId self,
            Supplier<Vector<EntryHost>> activeHosts,
            LearnedPlacement placement,
            LoadAggregate aggregate,
            LoadChannel channel,
            Scheduler scheduler,
            RandomGenerator random) {
        this.self = self;
        this.activeHosts = activeHosts;
        this.placement = placement;
        this.aggregate = aggregate;
        this.channel = channel;
        this.scheduler = scheduler;
        this.random = random;
        placement.whenCallStarts(this::schedule);
    }

    private void schedule() {
        if (scheduled.compareAndSet(false, true)) {
            double factor = 1 + JITTER * (2 * random.nextDouble() - 1);
            scheduler.after(Duration.ofMillis((long) (INTERVAL_MILLIS * factor)), this::report);
        }
    }

    private void report() {
        scheduled.set(false);
        Vector<LoadReport> reports = placement.takeReports(scheduler.nanoTime());
        reports.forEach(this::send);
        if (!reports.isEmpty()) {
            schedule();
        }
    }

    private void send(LoadReport report) {
        Vector<EntryHost> candidates = candidates();
        HostId owner = aggregatingHost(report.service(), candidates);
        if (owner.equals(self)) {
            placement.adopt(
                    report, aggregate.add(report, scheduler.nanoTime()), scheduler.nanoTime());
            return;
        }
        EntryHost host = candidates.find(candidate -> candidate.host().equals(owner)).get();
        channel.send(host, report).thenAccept(reply -> onReply(host, report, reply));
    }

    private Vector<EntryHost> candidates() {
        long nowNanos = scheduler.nanoTime();
        Vector<EntryHost> active = activeHosts.get();
        return lock.withLock(
                () -> {
                    avoidedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
                    return active.filter(host -> !avoidedUntilNanos.containsKey(host.host()));
                });
    }

    /** Returns the host with the highest rendezvous hash; this host when there is no other. */
    private HostId aggregatingHost(ServiceName service, Vector<EntryHost> candidates) {
        return candidates.map(EntryHost::host).maxBy(host -> hash(service, host)).getOrElse(self);
    }

    /** Finalizer of SplitMix64; without it, similar names would have similar hashes. */
    private static long hash(ServiceName service, HostId host) {
        long value =
                ((long) service.value().hashCode() << 32) ^ (host.value().hashCode() & 0xFFFFFFFFL);
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    private void onReply(EntryHost host, LoadReport report, Either<String, LoadTotals> reply) {
        if (reply.isRight()) {
            placement.adopt(report, reply.get(), scheduler.nanoTime());
            return;
        }
        long untilNanos = scheduler.nanoTime() + AVOIDANCE.toNanos();
        boolean isNews =
                lock.withLock(() -> avoidedUntilNanos.put(host.host(), untilNanos) == null);
        if (isNews) {
            LOG.event("load_report_failed")
                    .with("service", report.service())
                    .with("host", host.host())
                    .with("reason", reply.getLeft())
                    .warn();
        }
    }
}
