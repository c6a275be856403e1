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

/** Messages between hosts in one process, with cut links and lost messages. */
public final class SimulatedNetwork {
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<Address, PeerService> hosts = new HashMap<>();
    private final Set<Link> cuts = new HashSet<>();
    private double lossShare;
    private Set<Integer> lostMessages = Set.of();
    private int messages;

    private record Link(Address from, Address target) {}

    /** Creates a network. */
    public SimulatedNetwork(Scheduler scheduler, RandomGenerator random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Starts a host at an address, or replaces the one there. */
    public void attach(Address address, PeerService service) {
        hosts.put(address, service);
    }

    /** Stops the host at an address; replies under way from it are lost. */
    public void detach(Address address) {
        hosts.remove(address);
    }

    /** Cuts the link from one address to another, in this direction only. */
    public void cut(Address from, Address target) {
        cuts.add(new Link(from, target));
    }

    /** Cuts the links between two addresses in both directions. */
    public void cutBoth(Address first, Address second) {
        cut(first, second);
        cut(second, first);
    }

    /** Restores all links. */
    public void heal() {
        cuts.clear();
    }

    /** Sets the share of messages, and of replies, that are lost. */
    public void setLossShare(double share) {
        lossShare = share;
    }

    /**
     * Loses some messages and replies.
     *
     * @param indexes which ones, counted from now on and without pings
     */
    public void loseMessages(Integer... indexes) {
        lostMessages = Set.of(indexes);
        messages = 0;
    }

    /** Returns the channel of a host. */
    public PeerChannel channelOf(Address own) {
        return (address, request, timeout) -> send(own, address, request, timeout);
    }

    private CompletableFuture<PeerReply> send(
            Address from, Address target, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        scheduler.after(timeout, () -> reply.complete(new PeerReply.Unreachable("timed out")));
        if (!isLost(from, target, request)) {
            scheduler.after(delay(), () -> deliver(from, target, request, reply));
        }
        return reply;
    }

    private void deliver(
            Address from, Address target, PeerRequest request, CompletableFuture<PeerReply> reply) {
        PeerService host = hosts.get(target);
        if (host == null) {
            reply.complete(new PeerReply.Unreachable("refused"));
            return;
        }
        host.handle(request)
                .thenAccept(
                        result -> {
                            if (hosts.get(target) == host && !isLost(target, from, request)) {
                                scheduler.after(delay(), () -> reply.complete(result));
                            }
                        });
    }

    private boolean isLost(Address from, Address target, PeerRequest request) {
        if (!(request instanceof PeerRequest.Ping) && lostMessages.contains(messages++)) {
            return true;
        }
        return cuts.contains(new Link(from, target)) || random.nextDouble() < lossShare;
    }

    private Duration delay() {
        return Duration.ofNanos(300_000 + random.nextLong(1_500_000));
    }
}
