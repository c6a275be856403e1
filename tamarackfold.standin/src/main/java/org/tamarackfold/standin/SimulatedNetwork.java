package org.tamarackfold.standin;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.Address;
import org.tamarackfold.peer.PeerChannel;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.PeerService;
import org.tamarackfold.time.Scheduler;

/** Simulated network between hosts in one process, with cut links and lost messages. */
public final class SimulatedNetwork {
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<Address, PeerService> hosts = new HashMap<>();
    private final Set<Link> cutLinks = new HashSet<>();
    private double lossProbability;
    private Set<Integer> lostIndexes = Set.of();
    private int messageCount;

    private record Link(Address source, Address destination) {}

    /** Creates a network without faults; the random generator decides delays and losses. */
    public SimulatedNetwork(Scheduler scheduler, RandomGenerator random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Attaches a host at an address, in place of the one that was attached there before. */
    public void attach(Address address, PeerService service) {
        hosts.put(address, service);
    }

    /** Detaches the host at an address; replies that it has not sent yet are lost. */
    public void detach(Address address) {
        hosts.remove(address);
    }

    /** Cuts the link from one address to another, in this direction only. */
    public void cut(Address source, Address destination) {
        cutLinks.add(new Link(source, destination));
    }

    /** Cuts the links between two addresses in both directions. */
    public void cutBoth(Address first, Address second) {
        cut(first, second);
        cut(second, first);
    }

    /** Restores all cut links. */
    public void restoreLinks() {
        cutLinks.clear();
    }

    /** Sets the probability, from 0 to 1, with which each request and each reply is lost. */
    public void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /**
     * Loses the requests and replies at the given positions; positions set before no longer apply.
     *
     * @param indexes positions among all requests and replies from now on, starting at 0; pings and
     *     their replies are not counted
     */
    public void loseMessages(Integer... indexes) {
        lostIndexes = Set.of(indexes);
        messageCount = 0;
    }

    /** Returns the channel through which the host at an address sends requests. */
    public PeerChannel channelOf(Address source) {
        return (destination, request, timeout) -> send(source, destination, request, timeout);
    }

    private CompletableFuture<PeerReply> send(
            Address source, Address destination, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        scheduler.after(timeout, () -> reply.complete(new PeerReply.Unreachable("timed out")));
        if (!isLost(source, destination, request)) {
            scheduler.after(randomDelay(), () -> deliver(source, destination, request, reply));
        }
        return reply;
    }

    private void deliver(
            Address source,
            Address destination,
            PeerRequest request,
            CompletableFuture<PeerReply> reply) {
        PeerService host = hosts.get(destination);
        if (host == null) {
            reply.complete(new PeerReply.Unreachable("connection refused"));
            return;
        }
        host.handle(request)
                .thenAccept(
                        result -> {
                            if (hosts.get(destination) == host
                                    && !isLost(destination, source, request)) {
                                scheduler.after(randomDelay(), () -> reply.complete(result));
                            }
                        });
    }

    private boolean isLost(Address source, Address destination, PeerRequest request) {
        if (!(request instanceof PeerRequest.Ping) && lostIndexes.contains(messageCount++)) {
            return true;
        }
        return cutLinks.contains(new Link(source, destination))
                || random.nextDouble() < lossProbability;
    }

    private Duration randomDelay() {
        return Duration.ofNanos(300_000 + random.nextLong(1_500_000));
    }
}
