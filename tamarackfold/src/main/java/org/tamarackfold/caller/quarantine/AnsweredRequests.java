package org.tamarackfold.caller.quarantine;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that endpoints have answered whole of late. One of them that meets the end of an
 * endpoint hardly is its cause, and is not held up for it. Guarded by the lock of its table.
 */
final class AnsweredRequests {
    /** Requests that are remembered, the latest ones. */
    private static final int MAXIMUM_REQUESTS = 2_048;

    private static final Duration LIFETIME = Duration.ofSeconds(60);

    /** Ordered by the last response, oldest first. */
    private final Map<TrialKey, Long> answeredAtNanos = new LinkedHashMap<>();

    void add(TrialKey request, long nowNanos) {
        answeredAtNanos.remove(request);
        answeredAtNanos.put(request, nowNanos);
        if (answeredAtNanos.size() > MAXIMUM_REQUESTS) {
            Iterator<TrialKey> oldestFirst = answeredAtNanos.keySet().iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    boolean contains(TrialKey request, long nowNanos) {
        Long atNanos = answeredAtNanos.get(request);
        return atNanos != null && nowNanos - atNanos < LIFETIME.toNanos();
    }
}
