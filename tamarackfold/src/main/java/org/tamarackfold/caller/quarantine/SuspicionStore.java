package org.tamarackfold.caller.quarantine;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.RequestFingerprint;

/** The suspicions of a table, found by request. Bounded; guarded by the lock of the table. */
final class SuspicionStore {
    /** Suspicions that are kept; the weakest and oldest ones are dropped first. */
    static final int MAXIMUM_SUSPICIONS = 1_024;

    private static final Comparator<Suspicion> BY_STRENGTH =
            Comparator.comparingInt(Suspicion::weight).thenComparingLong(Suspicion::changedAtNanos);

    private final Map<RequestFingerprint, Map<Software, Suspicion>> suspicions = new HashMap<>();
    private int size;
    private long digest;

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns a number that is equal in stores with the same content, and hardly ever else. */
    long digest() {
        return digest;
    }

    /** Returns what is known of a request at one software. */
    Suspicion get(SuspicionKey key) {
        Suspicion known = of(key.request()).get(key.software());
        return known == null ? Suspicion.none(key) : known;
    }

    private Map<Software, Suspicion> of(RequestFingerprint request) {
        return suspicions.getOrDefault(request, Map.of());
    }

    /** Returns what is known of a request. */
    Vector<Suspicion> suspicionsOf(RequestFingerprint request) {
        return Vector.ofAll(of(request).values());
    }

    Vector<Suspicion> all() {
        return Vector.ofAll(suspicions.values()).flatMap(Map::values);
    }

    /** Returns the suspicions that match, at most so many, strongest first. */
    Vector<Suspicion> strongest(int limit, Predicate<Suspicion> filter) {
        return all().filter(filter).sorted(BY_STRENGTH.reversed()).take(limit);
    }

    /** Returns the endpoints that requests in quarantine have ended, but for one request. */
    Set<Incarnation> explainedWithout(RequestFingerprint request, long nowNanos) {
        Set<Incarnation> explained = HashSet.empty();
        for (Suspicion entry : all()) {
            if (entry.isQuarantined(nowNanos) && !entry.key().request().equals(request)) {
                explained = explained.addAll(entry.runs().keySet());
            }
        }
        return explained;
    }

    void put(Suspicion suspicion, long nowNanos) {
        SuspicionKey key = suspicion.key();
        remove(key);
        suspicions
                .computeIfAbsent(key.request(), unused -> new HashMap<>())
                .put(key.software(), suspicion);
        size++;
        digest += digest(suspicion);
        if (size > MAXIMUM_SUSPICIONS) {
            removeExpired(nowNanos);
        }
        if (size > MAXIMUM_SUSPICIONS) {
            remove(all().minBy(BY_STRENGTH).get().key());
        }
    }

    private void remove(SuspicionKey key) {
        Map<Software, Suspicion> ofRequest = of(key.request());
        Suspicion previous = ofRequest.get(key.software());
        if (previous == null) {
            return;
        }
        ofRequest.remove(key.software());
        if (ofRequest.isEmpty()) {
            suspicions.remove(key.request());
        }
        size--;
        digest -= digest(previous);
    }

    void removeExpired(long nowNanos) {
        all().filter(entry -> entry.isExpired(nowNanos)).forEach(entry -> remove(entry.key()));
    }

    private static long digest(Suspicion entry) {
        long value = entry.key().request().low() ^ entry.key().software().hashCode();
        value = 31 * value + entry.runs().keySet().hashCode();
        value = 31 * value + (entry.quarantinedAtNanos().isDefined() ? 1 : 0);
        return 31 * value + (entry.clearedAtNanos().isDefined() ? 1 : 0);
    }
}
