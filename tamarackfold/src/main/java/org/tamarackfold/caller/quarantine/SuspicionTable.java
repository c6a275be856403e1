package org.tamarackfold.caller.quarantine;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * The requests under which endpoints have ended, as this host has seen or was told. Its size is
 * bounded, whatever callers send. Thread-safe.
 */
final class SuspicionTable {
    /** Suspicions that are kept; the weakest and oldest ones are dropped first. */
    static final int MAXIMUM_SUSPICIONS = 1_024;

    /** Requests that were answered whole, of which this host remembers the latest. */
    private static final int MAXIMUM_ANSWERED = 2_048;

    /** A request that was answered within this time is not held up after a single end. */
    private static final Duration ANSWERED_RECENTLY = Duration.ofSeconds(60);

    private record AnsweredRequest(RequestFingerprint request, ServiceName service) {}

    private final TableLock lock = new TableLock(LockRank.QUARANTINE);
    private final Map<SuspicionKey, Suspicion> suspicions = new HashMap<>();
    private final Map<AnsweredRequest, Long> answeredAtNanos = new LinkedHashMap<>();
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
        return lock.withLock(
                () ->
                        (int)
                                suspicions.values().stream()
                                        .filter(suspicion -> suspicion.isQuarantined(nowNanos))
                                        .count());
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
        return lock.withLock(() -> verdictLocked(request, service, versions, nowNanos));
    }

    private Verdict verdictLocked(
            RequestFingerprint request,
            ServiceName service,
            Set<SoftwareVersion> versions,
            long nowNanos) {
        Vector<Suspicion> known = suspicionsOf(request, service, nowNanos);
        if (known.isEmpty()) {
            return new Verdict.Clear();
        }
        Vector<Suspicion> quarantined = known.filter(entry -> entry.isQuarantined(nowNanos));
        Set<SoftwareVersion> quarantinedAt =
                quarantined.map(entry -> entry.key().software().version()).toSet();
        if (!quarantined.isEmpty() && versions.forAll(quarantinedAt::contains)) {
            return new Verdict.Quarantined(remaining(quarantined, nowNanos));
        }
        Set<Incarnation> explained = explainedByOthers(request, nowNanos);
        Vector<EndedRun> runs =
                known.flatMap(entry -> entry.runsWithout(explained).values().toVector());
        boolean heldUp = runs.size() > 1 || !wasAnsweredRecently(request, service, nowNanos);
        if (runs.isEmpty() || !heldUp) {
            return new Verdict.Clear();
        }
        long sinceLastEnd = runs.map(run -> nowNanos - run.endedAtNanos()).min().get();
        return new Verdict.Suspected(runs.size(), Duration.ofNanos(sinceLastEnd), quarantinedAt);
    }

    private static Duration remaining(Vector<Suspicion> quarantined, long nowNanos) {
        long oldest =
                quarantined.map(entry -> nowNanos - entry.quarantinedAtNanos().get()).max().get();
        return QuarantineTimes.QUARANTINE.minusNanos(oldest);
    }

    private Vector<Suspicion> suspicionsOf(
            RequestFingerprint request, ServiceName service, long nowNanos) {
        return Vector.ofAll(suspicions.values())
                .filter(entry -> entry.key().request().equals(request))
                .filter(entry -> entry.key().software().service().equals(service))
                .filter(entry -> !entry.isExpired(nowNanos));
    }

    /** Returns the endpoints that another request, now quarantined, has ended. */
    private Set<Incarnation> explainedByOthers(RequestFingerprint request, long nowNanos) {
        return HashSet.ofAll(suspicions.values())
                .filter(entry -> !entry.key().request().equals(request))
                .filter(entry -> entry.isQuarantined(nowNanos))
                .flatMap(entry -> entry.runs().keySet());
    }

    private boolean wasAnsweredRecently(
            RequestFingerprint request, ServiceName service, long nowNanos) {
        Long answeredAt = answeredAtNanos.get(new AnsweredRequest(request, service));
        return answeredAt != null && nowNanos - answeredAt < ANSWERED_RECENTLY.toNanos();
    }

    /** Records an endpoint that ended under a request; returns whether that is news. */
    boolean recordEnd(SuspicionKey key, Incarnation endpoint, Duration exposure) {
        long nowNanos = scheduler.nanoTime();
        EndedRun run = new EndedRun(endpoint, exposure.toMillis(), nowNanos);
        return lock.withLock(() -> replace(known(key).withRun(run, nowNanos), nowNanos));
    }

    /** Records a whole response; returns whether it clears a suspicion. */
    boolean recordAnswer(SuspicionKey key) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () -> {
                    remember(
                            new AnsweredRequest(key.request(), key.software().service()), nowNanos);
                    Suspicion known = suspicions.get(key);
                    return known != null
                            && !known.runs().isEmpty()
                            && replace(known.clearedAt(nowNanos, nowNanos), nowNanos);
                });
    }

    private void remember(AnsweredRequest answered, long nowNanos) {
        answeredAtNanos.remove(answered);
        answeredAtNanos.put(answered, nowNanos);
        if (answeredAtNanos.size() > MAXIMUM_ANSWERED) {
            Iterator<AnsweredRequest> oldestFirst = answeredAtNanos.keySet().iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Adds the reports of another host; returns the keys of those that are news. */
    Vector<SuspicionKey> merge(Vector<SuspicionReport> reports) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () ->
                        reports.filter(
                                        report ->
                                                replace(
                                                        report.addTo(known(report.key()), nowNanos),
                                                        nowNanos))
                                .map(SuspicionReport::key));
    }

    private Suspicion known(SuspicionKey key) {
        Suspicion known = suspicions.get(key);
        return known == null ? Suspicion.none(key) : known;
    }

    private boolean replace(Suspicion next, long nowNanos) {
        Suspicion previous = known(next.key());
        if (next == previous || next.isExpired(nowNanos)) {
            return false;
        }
        suspicions.put(next.key(), next);
        empty = false;
        if (suspicions.size() > MAXIMUM_SUSPICIONS) {
            removeExpired(nowNanos);
            dropWeakest();
        }
        return next.changedAtNanos() != previous.changedAtNanos();
    }

    private void dropWeakest() {
        if (suspicions.size() > MAXIMUM_SUSPICIONS) {
            suspicions.values().stream()
                    .min(
                            Comparator.comparingInt(Suspicion::weight)
                                    .thenComparingLong(Suspicion::changedAtNanos))
                    .ifPresent(weakest -> suspicions.remove(weakest.key()));
        }
    }

    private void removeExpired(long nowNanos) {
        suspicions.values().removeIf(entry -> entry.isExpired(nowNanos));
        empty = suspicions.isEmpty();
    }

    /** Removes what has expired. */
    void removeExpired() {
        long nowNanos = scheduler.nanoTime();
        lock.run(() -> removeExpired(nowNanos));
    }

    /** Quarantines the requests that are certain to crash endpoints; returns those found now. */
    Vector<SuspicionReport> quarantineCertain() {
        long nowNanos = scheduler.nanoTime();
        Set<ServiceName> services =
                lock.withLock(
                        () ->
                                HashSet.ofAll(suspicions.keySet())
                                        .map(key -> key.software().service()));
        io.vavr.collection.Map<ServiceName, Integer> counts =
                services.toMap(name -> name, endpointCount::applyAsInt);
        return lock.withLock(
                () -> {
                    Vector<SuspicionReport> found = Vector.empty();
                    for (Suspicion entry : Vector.ofAll(suspicions.values())) {
                        int endpoints = counts.getOrElse(entry.key().software().service(), 1);
                        if (isCertain(entry, endpoints, nowNanos)) {
                            Suspicion next = entry.quarantinedAt(nowNanos, nowNanos);
                            suspicions.put(entry.key(), next);
                            found = found.append(SuspicionReport.of(next, nowNanos));
                        }
                    }
                    return found;
                });
    }

    private boolean isCertain(Suspicion entry, int endpoints, long nowNanos) {
        if (entry.runs().size() < CrashCertainty.MINIMUM_ENDS || !mayDecide(entry, nowNanos)) {
            return false;
        }
        RequestFingerprint request = entry.key().request();
        io.vavr.collection.Map<Incarnation, EndedRun> runs =
                entry.runsWithout(explainedByOthers(request, nowNanos));
        return !hasRival(request, runs.keySet())
                && CrashCertainty.isCertain(
                        runs.values().toVector(), endsWithout(entry, nowNanos), endpoints);
    }

    /** A request that was quarantined before needs a further end. */
    private static boolean mayDecide(Suspicion entry, long nowNanos) {
        long lastEnd = entry.lastEndNanos().get();
        return !entry.isQuarantined(nowNanos)
                && nowNanos - lastEnd >= QuarantineTimes.SETTLING.toNanos()
                && entry.quarantinedAtNanos().forAll(at -> lastEnd - at > 0);
    }

    /** Returns whether another request was under way at all of these endpoints, too. */
    private boolean hasRival(RequestFingerprint request, Set<Incarnation> endpoints) {
        return suspicions.values().stream()
                .filter(other -> !other.key().request().equals(request))
                .anyMatch(other -> endpoints.forAll(other.runs()::containsKey));
    }

    private int endsWithout(Suspicion entry, long nowNanos) {
        Set<Incarnation> explained = explainedByOthers(entry.key().request(), nowNanos);
        return HashSet.ofAll(suspicions.values())
                .filter(
                        other ->
                                other.key()
                                        .software()
                                        .service()
                                        .equals(entry.key().software().service()))
                .flatMap(other -> other.runs().values())
                .filter(run -> nowNanos - run.endedAtNanos() < CrashCertainty.BACKGROUND.toNanos())
                .map(EndedRun::endpoint)
                .filter(endpoint -> !entry.runs().containsKey(endpoint))
                .filter(endpoint -> !explained.contains(endpoint))
                .size();
    }

    /** Returns reports on what has changed within a time, at most so many, strongest first. */
    Vector<SuspicionReport> changedWithin(Duration time, int limit) {
        long nowNanos = scheduler.nanoTime();
        return reports(
                limit, entry -> nowNanos - entry.changedAtNanos() < time.toNanos(), nowNanos);
    }

    /** Returns reports on everything that is known, at most so many, strongest first. */
    Vector<SuspicionReport> strongest(int limit) {
        return reports(limit, entry -> true, scheduler.nanoTime());
    }

    /** Returns reports on one request. */
    Vector<SuspicionReport> reportsOn(RequestFingerprint request) {
        return reports(
                MAXIMUM_SUSPICIONS,
                entry -> entry.key().request().equals(request),
                scheduler.nanoTime());
    }

    private Vector<SuspicionReport> reports(
            int limit, java.util.function.Predicate<Suspicion> filter, long nowNanos) {
        if (empty) {
            return Vector.empty();
        }
        return lock.withLock(
                () ->
                        Vector.ofAll(suspicions.values())
                                .filter(entry -> !entry.isExpired(nowNanos))
                                .filter(filter)
                                .sorted(
                                        Comparator.comparingInt(Suspicion::weight)
                                                .thenComparingLong(Suspicion::changedAtNanos)
                                                .reversed())
                                .take(limit)
                                .map(entry -> SuspicionReport.of(entry, nowNanos)));
    }

    /** Returns a number that is equal at hosts which know the same, and hardly ever otherwise. */
    long digest() {
        if (empty) {
            return 0;
        }
        return lock.withLock(
                () -> suspicions.values().stream().mapToLong(SuspicionTable::digest).sum());
    }

    private static long digest(Suspicion entry) {
        long value = entry.key().request().low() ^ entry.key().software().hashCode();
        value = 31 * value + entry.runs().keySet().hashCode();
        value = 31 * value + (entry.quarantinedAtNanos().isDefined() ? 1 : 0);
        return 31 * value + (entry.clearedAtNanos().isDefined() ? 1 : 0);
    }

    /** Returns what is known of a request at one software, for tests and logs. */
    Option<SuspicionReport> report(SuspicionKey key) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () ->
                        Option.of(suspicions.get(key))
                                .map(entry -> SuspicionReport.of(entry, nowNanos)));
    }
}
