package org.tamarackfold.endpoint;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The endpoints that have stated in a response that they leave. A mark belongs to one start of an
 * endpoint and outlasts its registration: a listing may show the registration again after its
 * removal, and still as ready. Guarded by the lock of its table.
 */
final class LeavingEndpoints {
    /**
     * Time after which a registration that was removed and is there again belongs to a new start,
     * where start times are unknown. Endpoints leave within some 10 s.
     */
    private static final Duration LONGEST_LEAVING_TIME = Duration.ofMinutes(1);

    /**
     * Lifetime of a mark after the last response that stated it, unless the endpoint is still
     * registered with that start time. Longer than a registration may return after its removal.
     */
    private static final Duration MARK_LIFETIME = Duration.ofMinutes(10);

    /** Upper bound of the marks, which bounds their memory; the oldest is removed first. */
    private static final int MAXIMUM_MARKS = 4_096;

    private record Mark(long statedAtNanos, boolean removedSince) {}

    /** Ordered by the last statement, oldest first. */
    private final Map<Incarnation, Mark> marks = new LinkedHashMap<>();

    /**
     * Records that an endpoint has stated that it leaves.
     *
     * @param isRegistered whether an incarnation is registered at present
     * @return whether this was not known before
     */
    boolean add(Incarnation incarnation, Predicate<Incarnation> isRegistered, long nowNanos) {
        boolean known = isLeaving(incarnation, nowNanos);
        marks.remove(incarnation);
        marks.put(incarnation, new Mark(nowNanos, !isRegistered.test(incarnation)));
        if (!known) {
            removeExpired(isRegistered, nowNanos);
        }
        return !known;
    }

    /** Called when the registration of an endpoint has been removed. */
    void onRemoved(Incarnation incarnation) {
        marks.computeIfPresent(incarnation, (unused, mark) -> new Mark(mark.statedAtNanos(), true));
    }

    /** Returns whether this start of the endpoint is known to be leaving. */
    boolean isLeaving(Incarnation incarnation, long nowNanos) {
        Mark mark = marks.get(incarnation);
        if (mark == null) {
            return false;
        }
        if (incarnation.hasStartTime()) {
            return true;
        }
        Duration lifetime = mark.removedSince() ? LONGEST_LEAVING_TIME : MARK_LIFETIME;
        return nowNanos - mark.statedAtNanos() < lifetime.toNanos();
    }

    /** Returns the number of marks. */
    int size() {
        return marks.size();
    }

    private void removeExpired(Predicate<Incarnation> isRegistered, long nowNanos) {
        marks.entrySet()
                .removeIf(
                        entry ->
                                nowNanos - entry.getValue().statedAtNanos()
                                                >= MARK_LIFETIME.toNanos()
                                        && !isRegistered.test(entry.getKey()));
        Iterator<Incarnation> oldestFirst = marks.keySet().iterator();
        while (marks.size() > MAXIMUM_MARKS) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }
}
