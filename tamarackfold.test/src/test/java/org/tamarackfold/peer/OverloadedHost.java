package org.tamarackfold.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.standin.VirtualScheduler;

/**
 * Model of a storage host with one processor. It works off all requests in the order of arrival,
 * also those whose sender has stopped waiting, and is slower after a restart until it has done some
 * work.
 */
final class OverloadedHost {
    private static final Duration LINK_DELAY = Duration.ofMillis(1);

    private record Received(PeerRequest request, CompletableFuture<PeerReply> reply) {}

    private final VirtualScheduler scheduler;
    private final Random random;
    private final Deque<Received> queue = new ArrayDeque<>();
    private final Map<Class<?>, Integer> processedByKind = new HashMap<>();
    private Duration cost;
    private Duration coldCost;
    private int coldRequests;
    private boolean running = true;
    private boolean working;
    private int maximumQueue;

    OverloadedHost(VirtualScheduler scheduler, Random random, Duration cost, Duration coldCost) {
        this.scheduler = scheduler;
        this.random = random;
        this.cost = cost;
        this.coldCost = coldCost;
    }

    /** Stops the process; its requests are lost, and further ones remain unanswered. */
    void stop() {
        running = false;
        queue.clear();
    }

    /** Starts the process; its first requests take the time of a cold start. */
    void start(int requestsUntilWarm) {
        running = true;
        coldRequests = requestsUntilWarm;
        maximumQueue = 0;
    }

    /** Returns the largest number of requests that were queued since the last start. */
    int maximumQueue() {
        return maximumQueue;
    }

    /** Returns the number of requests of a kind that have been worked off. */
    int processed(Class<? extends PeerRequest> kind) {
        return processedByKind.getOrDefault(kind, 0);
    }

    /** Returns a channel to this host. */
    PeerChannel channel() {
        return this::send;
    }

    private CompletableFuture<PeerReply> send(
            Address address, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        scheduler.after(timeout, () -> reply.complete(new PeerReply.Unreachable("timed out")));
        scheduler.after(LINK_DELAY, () -> receive(new Received(request, reply)));
        return reply;
    }

    private void receive(Received received) {
        if (!running) {
            return;
        }
        queue.add(received);
        maximumQueue = Math.max(maximumQueue, queue.size());
        workOff();
    }

    private void workOff() {
        if (working || queue.isEmpty()) {
            return;
        }
        working = true;
        long meanNanos = (coldRequests-- > 0 ? coldCost : cost).toNanos();
        long nanos = (long) (meanNanos * (0.5 + random.nextDouble()));
        scheduler.after(Duration.ofNanos(nanos), this::finishOne);
    }

    private void finishOne() {
        working = false;
        Received received = queue.poll();
        if (received != null) {
            processedByKind.merge(received.request().getClass(), 1, Integer::sum);
            scheduler.after(LINK_DELAY, () -> received.reply().complete(new PeerReply.Done()));
        }
        workOff();
    }
}
