package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * The requests under which endpoints have ended, as this host has seen or was told, and what
 * follows from that. Thread-safe.
 */
final class SuspicionTable {
    private final TableLock lock = new TableLock(LockRank.QUARANTINE);
    private final SuspicionStore store = new SuspicionStore();
    private final AnsweredRequests answered = new AnsweredRequests();
    private final ToIntFunction<ServiceName> endpointCount;
    private final Scheduler scheduler;
    private volatile boolean empty = true;

    /**
     * Creates an empty table.
     *
     * @param endpointCount returns the number of endpoints of a service
     */
    SuspicionTable(ToIntFunction<ServiceName> endpointCount, Scheduler scheduler) {
        this.endpointCount = endpointCount;
        this.scheduler = scheduler;
    }

    /** Returns whether nothing is known, so that every verdict is {@link Verdict.Clear}. */
    boolean isEmpty() {
        return empty;
    }

    /** Returns the number of requests that are rejected now. */
    int quarantinedCount() {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(() -> store.all().count(entry -> entry.isQuarantined(nowNanos)));
    }

    /**
     * Returns what may be done with a request.
     *
     * @param versions the software versions of the endpoints of the service
     */
    Verdict verdict(
            RequestFingerprint request, ServiceName service, Set<SoftwareVersion> versions) {
        if (empty) {
            return new Verdict.Clear();
        }
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(() -> verdict(new TrialKey(request, service), versions, nowNanos));
    }

    private Verdict verdict(TrialKey request, Set<SoftwareVersion> versions, long nowNanos) {
        Vector<Suspicion> known =
                store.suspicionsOf(request.request())
                        .filter(entry -> isAt(entry, request.service()))
                        .filter(entry -> !entry.isExpired(nowNanos));
        if (known.isEmpty()) {
            return new Verdict.Clear();
        }
        Vector<Suspicion> quarantined = known.filter(entry -> entry.isQuarantined(nowNanos));
        Set<SoftwareVersion> quarantinedAt =
                quarantined.map(entry -> entry.key().software().version()).toSet();
        if (!quarantined.isEmpty() && versions.forAll(quarantinedAt::contains)) {
            return new Verdict.Quarantined(remaining(quarantined, nowNanos));
        }
        Set<Incarnation> explained = store.explainedWithout(request.request(), nowNanos);
        Vector<EndedRun> runs = known.flatMap(entry -> entry.runsWithout(explained).values());
        boolean heldUp = runs.size() > 1 || !answered.contains(request, nowNanos);
        if (runs.isEmpty() || !heldUp) {
            return new Verdict.Clear();
        }
        long sinceLastEnd = runs.map(run -> nowNanos - run.endedAtNanos()).min().get();
        return new Verdict.Suspected(runs.size(), Duration.ofNanos(sinceLastEnd), quarantinedAt);
    }

    private static boolean isAt(Suspicion entry, ServiceName service) {
        return entry.key().software().service().equals(service);
    }

    private static Duration remaining(Vector<Suspicion> quarantined, long nowNanos) {
        long oldest =
                quarantined.map(entry -> nowNanos - entry.quarantinedAtNanos().get()).max().get();
        return QuarantineTimes.QUARANTINE.minusNanos(oldest);
    }

    /** Records an endpoint that ended under a request; returns whether that is news. */
    boolean recordEnd(SuspicionKey key, Incarnation endpoint, Duration exposure) {
        long nowNanos = scheduler.nanoTime();
        EndedRun run = new EndedRun(endpoint, exposure.toMillis(), nowNanos);
        return lock.withLock(() -> replace(store.get(key).withRun(run, nowNanos), nowNanos));
    }

    /** Records a whole response; returns whether it clears a suspicion. */
    boolean recordAnswer(SuspicionKey key) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () -> {
                    answered.add(new TrialKey(key.request(), key.software().service()), nowNanos);
                    Suspicion known = store.get(key);
                    return !known.runs().isEmpty()
                            && replace(known.clearedAt(nowNanos, nowNanos), nowNanos);
                });
    }

    /** Adds the reports of another host; returns the keys of those that are news. */
    Vector<SuspicionKey> merge(Vector<SuspicionReport> reports) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () -> reports.filter(report -> merge(report, nowNanos)).map(SuspicionReport::key));
    }

    private boolean merge(SuspicionReport report, long nowNanos) {
        return replace(report.addTo(store.get(report.key()), nowNanos), nowNanos);
    }

    private boolean replace(Suspicion next, long nowNanos) {
        Suspicion previous = store.get(next.key());
        if (next.equals(previous) || next.isExpired(nowNanos)) {
            return false;
        }
        store.put(next, nowNanos);
        empty = false;
        return next.changedAtNanos() != previous.changedAtNanos();
    }

    /** Removes what has expired. */
    void removeExpired() {
        if (empty) {
            return;
        }
        long nowNanos = scheduler.nanoTime();
        lock.run(
                () -> {
                    store.removeExpired(nowNanos);
                    empty = store.isEmpty();
                });
    }

    /** Quarantines the requests that are certain to crash endpoints; returns those found now. */
    Vector<SuspicionReport> quarantineCertain() {
        long nowNanos = scheduler.nanoTime();
        Vector<Suspicion> candidates =
                lock.withLock(() -> store.all().filter(entry -> mayDecide(entry, nowNanos)));
        // Counted without the lock, since the count takes that of the endpoints.
        Map<ServiceName, Integer> endpoints =
                candidates
                        .map(entry -> entry.key().software().service())
                        .toSet()
                        .toMap(service -> service, endpointCount::applyAsInt);
        return lock.withLock(
                () ->
                        candidates
                                .filter(entry -> store.get(entry.key()) == entry)
                                .flatMap(entry -> quarantineIfCertain(entry, endpoints, nowNanos)));
    }

    private Vector<SuspicionReport> quarantineIfCertain(
            Suspicion entry, Map<ServiceName, Integer> endpoints, long nowNanos) {
        int count = endpoints.get(entry.key().software().service()).get();
        if (!isCertain(entry, count, nowNanos)) {
            return Vector.empty();
        }
        Suspicion next = entry.quarantinedAt(nowNanos, nowNanos);
        store.put(next, nowNanos);
        return Vector.of(SuspicionReport.of(next, nowNanos));
    }

    /** A request that was quarantined before needs a further end. */
    private static boolean mayDecide(Suspicion entry, long nowNanos) {
        if (entry.runs().size() < CrashCertainty.MINIMUM_ENDS || entry.isQuarantined(nowNanos)) {
            return false;
        }
        long lastEnd = entry.lastEndNanos().get();
        return nowNanos - lastEnd >= QuarantineTimes.SETTLING.toNanos()
                && entry.quarantinedAtNanos().forAll(at -> lastEnd - at > 0);
    }

    private boolean isCertain(Suspicion entry, int endpoints, long nowNanos) {
        Set<Incarnation> explained = store.explainedWithout(entry.key().request(), nowNanos);
        Map<Incarnation, EndedRun> runs = entry.runsWithout(explained);
        return !hasRival(entry.key().request(), runs.keySet())
                && CrashCertainty.isCertain(
                        runs.values(),
                        endsWithout(entry, explained, nowNanos),
                        endpoints,
                        nowNanos);
    }

    /** Returns whether another request was under way at all of these endpoints, too. */
    private boolean hasRival(RequestFingerprint request, Set<Incarnation> endpoints) {
        return store.all()
                .filter(other -> !other.key().request().equals(request))
                .exists(other -> endpoints.forAll(other.runs()::containsKey));
    }

    /** Returns when endpoints of the service ended without the request, as far as known. */
    private Vector<Long> endsWithout(Suspicion entry, Set<Incarnation> explained, long nowNanos) {
        return store.all()
                .filter(other -> isAt(other, entry.key().software().service()))
                .flatMap(other -> other.runs().values())
                .filter(run -> isInBackground(run, nowNanos))
                .filter(run -> !entry.runs().containsKey(run.endpoint()))
                .filter(run -> !explained.contains(run.endpoint()))
                .distinctBy(EndedRun::endpoint)
                .map(EndedRun::endedAtNanos);
    }

    private static boolean isInBackground(EndedRun run, long nowNanos) {
        long ageNanos = nowNanos - run.endedAtNanos();
        return ageNanos < CrashCertainty.LONGEST_BACKGROUND.toNanos();
    }

    /** Returns reports on what has changed within a time, at most so many, strongest first. */
    Vector<SuspicionReport> changedWithin(Duration time, int limit) {
        long sinceNanos = scheduler.nanoTime() - time.toNanos();
        return reports(limit, entry -> entry.changedAtNanos() - sinceNanos > 0);
    }

    /** Returns reports on everything that is known, at most so many, strongest first. */
    Vector<SuspicionReport> strongest(int limit) {
        return reports(limit, entry -> true);
    }

    /** Returns reports on one request. */
    Vector<SuspicionReport> reportsOn(RequestFingerprint request) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(() -> reports(store.suspicionsOf(request), nowNanos));
    }

    private Vector<SuspicionReport> reports(int limit, Predicate<Suspicion> filter) {
        if (empty || limit == 0) {
            return Vector.empty();
        }
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(() -> reports(store.strongest(limit, filter), nowNanos));
    }

    private static Vector<SuspicionReport> reports(Vector<Suspicion> entries, long nowNanos) {
        return entries.filter(entry -> !entry.isExpired(nowNanos))
                .map(entry -> SuspicionReport.of(entry, nowNanos));
    }

    /** Returns a number that is equal at hosts which know the same, and hardly ever else. */
    long digest() {
        return empty ? 0 : lock.withLock(store::digest);
    }

    /** Returns the number of endpoints that ended under a request at one software. */
    int endsUnder(SuspicionKey key) {
        return lock.withLock(() -> store.get(key).runs().size());
    }
}
