package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The requests to one host that are in flight or wait because of its {@link ConcurrencyLimit}.
 * Decides without I/O; not thread-safe.
 */
final class HostQueue {
    /** A host that has replied within this time is overloaded rather than unreachable. */
    private static final long RECENT_REPLY_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * A request waits for at most this fraction of its timeout. Sent with less time left, it would
     * time out at a host that answers as fast as ever.
     */
    private static final int WAITING_DIVISOR = 2;

    /** A request with its result; sent at most once. */
    static final class QueuedRequest {
        private final PeerRequest request;
        private final RequestClass requestClass;
        private final long deadlineNanos;
        private final Duration longestWait;
        private final long waitsUntilNanos;
        private final CompletableFuture<PeerReply> result = new CompletableFuture<>();
        private long sentAtNanos;
        private boolean sent;

        QueuedRequest(PeerRequest request, long nowNanos, Duration timeout) {
            this.request = request;
            this.requestClass = RequestClass.of(request);
            this.deadlineNanos = nowNanos + timeout.toNanos();
            this.longestWait = timeout.dividedBy(WAITING_DIVISOR);
            this.waitsUntilNanos = nowNanos + longestWait.toNanos();
        }

        PeerRequest request() {
            return request;
        }

        CompletableFuture<PeerReply> result() {
            return result;
        }

        /** Returns how long the request may wait before it is withdrawn. */
        Duration longestWait() {
            return longestWait;
        }

        Duration remaining(long nowNanos) {
            return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
        }
    }

    /** What to do with a new request. */
    sealed interface Admission {
        /** Send it at once; it counts as in flight. */
        record Send() implements Admission {}

        /** Keep it until {@link #onFinished} returns it or it is withdrawn. */
        record Wait() implements Admission {}

        /**
         * Do not send it.
         *
         * @param reply the reply that the sender receives
         */
        record Reject(PeerReply reply) implements Admission {}
    }

    private final ConcurrencyLimit limit = new ConcurrencyLimit();
    private final Set<QueuedRequest> acceptedWork = new LinkedHashSet<>();
    private final Set<QueuedRequest> newWork = new LinkedHashSet<>();
    private int inFlight;
    private boolean replied;
    private long repliedAtNanos;

    /**
     * Decides on a request. New work may wait only while less of it waits than the limit allows.
     */
    Admission admit(QueuedRequest request, long nowNanos) {
        if (inFlight < limit.current()) {
            markSent(request, nowNanos);
            return new Admission.Send();
        }
        if (request.requestClass != RequestClass.NEW_WORK) {
            acceptedWork.add(request);
            return new Admission.Wait();
        }
        if (newWork.size() >= limit.maximumWaiting()) {
            return new Admission.Reject(rejection(nowNanos));
        }
        newWork.add(request);
        return new Admission.Wait();
    }

    /**
     * Counts the end of a request that was sent.
     *
     * @return the waiting requests that must be sent now
     */
    Vector<QueuedRequest> onFinished(QueuedRequest request, PeerReply reply, long nowNanos) {
        inFlight--;
        if (reply instanceof PeerReply.Unreachable) {
            limit.onTimeout(request.sentAtNanos, nowNanos);
        } else {
            limit.onReply();
            replied = true;
            repliedAtNanos = nowNanos;
        }
        Vector<QueuedRequest> next = Vector.empty();
        while (inFlight < limit.current()) {
            Set<QueuedRequest> queue = acceptedWork.isEmpty() ? newWork : acceptedWork;
            if (queue.isEmpty()) {
                break;
            }
            QueuedRequest waiting = removeOldest(queue);
            // The timer that withdraws it is late on a busy thread; its sender still gets the
            // rejection from there.
            if (nowNanos - waiting.waitsUntilNanos >= 0) {
                continue;
            }
            markSent(waiting, nowNanos);
            next = next.append(waiting);
        }
        return next;
    }

    private static QueuedRequest removeOldest(Set<QueuedRequest> queue) {
        Iterator<QueuedRequest> oldestFirst = queue.iterator();
        QueuedRequest oldest = oldestFirst.next();
        oldestFirst.remove();
        return oldest;
    }

    /**
     * Removes a request that has waited too long.
     *
     * @return whether it still waited, so that it will never be sent
     */
    boolean withdraw(QueuedRequest request) {
        if (request.sent) {
            return false;
        }
        acceptedWork.remove(request);
        newWork.remove(request);
        return true;
    }

    /** Returns the reply to a request that was not sent. */
    PeerReply rejection(long nowNanos) {
        String state = "in_flight=" + inFlight + " limit=" + limit.current();
        return replied && nowNanos - repliedAtNanos < RECENT_REPLY_NANOS
                ? new PeerReply.Overloaded(state)
                : new PeerReply.Unreachable("no recent reply, " + state);
    }

    private void markSent(QueuedRequest request, long nowNanos) {
        request.sent = true;
        request.sentAtNanos = nowNanos;
        inFlight++;
    }
}
