package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Bounds the requests in flight to each host. Without a bound, requests that time out at a slow
 * host are repeated while the host still works on the copies that nobody waits for; the overload
 * then lasts after its cause has ended, and the connections use up the file descriptors.
 * Thread-safe.
 */
public final class LimitedPeerChannel implements PeerChannel {
    private final TableLock lock = new TableLock(LockRank.PEER_QUEUES);
    private final Map<Address, HostQueue> queues = new HashMap<>();
    private final PeerChannel channel;
    private final Scheduler scheduler;

    /** Creates a channel that sends requests through another channel. */
    public LimitedPeerChannel(PeerChannel channel, Scheduler scheduler) {
        this.channel = channel;
        this.scheduler = scheduler;
    }

    /**
     * Sends a request, or lets it wait for a part of its timeout. The future completes with {@link
     * PeerReply.Overloaded} when the request was not sent because the host has too much to do.
     */
    @Override
    public CompletableFuture<PeerReply> send(
            Address address, PeerRequest request, Duration timeout) {
        if (RequestClass.of(request) == RequestClass.PROBE) {
            return channel.send(address, request, timeout);
        }
        long nowNanos = scheduler.nanoTime();
        HostQueue.QueuedRequest queued = new HostQueue.QueuedRequest(request, nowNanos, timeout);
        HostQueue.Admission admission = lock.withLock(() -> queue(address).admit(queued, nowNanos));
        switch (admission) {
            case HostQueue.Admission.Send() -> sendNow(address, Vector.of(queued));
            case HostQueue.Admission.Wait() ->
                    scheduler.after(queued.longestWait(), () -> onWaitingTimeout(address, queued));
            case HostQueue.Admission.Reject(PeerReply reply) -> queued.result().complete(reply);
        }
        return queued.result();
    }

    private HostQueue queue(Address address) {
        return queues.computeIfAbsent(address, unused -> new HostQueue());
    }

    /**
     * Sends requests, and those that may be sent once they have finished. A request that fails at
     * once leads to the next in a loop: recursion would overflow the stack when many wait.
     */
    private void sendNow(Address address, Vector<HostQueue.QueuedRequest> requests) {
        Deque<HostQueue.QueuedRequest> unsent = new ArrayDeque<>(requests.asJava());
        while (!unsent.isEmpty()) {
            HostQueue.QueuedRequest queued = unsent.poll();
            CompletableFuture<PeerReply> reply =
                    channel.send(address, queued.request(), queued.remaining(scheduler.nanoTime()));
            if (reply.isDone()) {
                unsent.addAll(finish(address, queued, reply.join()).asJava());
                queued.result().complete(reply.join());
            } else {
                reply.thenAccept(received -> onReply(address, queued, received));
            }
        }
    }

    private void onReply(Address address, HostQueue.QueuedRequest queued, PeerReply reply) {
        sendNow(address, finish(address, queued, reply));
        queued.result().complete(reply);
    }

    private Vector<HostQueue.QueuedRequest> finish(
            Address address, HostQueue.QueuedRequest queued, PeerReply reply) {
        return lock.withLock(() -> queue(address).onFinished(queued, reply, scheduler.nanoTime()));
    }

    private void onWaitingTimeout(Address address, HostQueue.QueuedRequest queued) {
        PeerReply rejection =
                lock.withLock(
                        () -> {
                            HostQueue queue = queue(address);
                            return queue.withdraw(queued)
                                    ? queue.rejection(scheduler.nanoTime())
                                    : null;
                        });
        if (rejection != null) {
            queued.result().complete(rejection);
        }
    }
}
