package org.tamarackfold.caller.limit;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.operator.CallLimit;

/** The permits and waiting calls of one customer at this host. Guarded by the permit table. */
final class CustomerPermits {
    /**
     * Lifetime of a permit from the time it was asked for, so that the permits of an earlier window
     * stay within the slack.
     */
    static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time ahead for which permits are asked for before they are needed, in seconds. */
    private static final double EXPECTED_SECONDS = 0.2;

    /**
     * Time between the rounds of a customer that is refused calls. The calls that arrive meanwhile
     * are asked for together: the owner would else receive a message for each refused call.
     */
    private static final long GATHERING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final double RATE_HALF_LIFE_SECONDS = 1;

    private final CustomerName customer;
    private final Deque<Long> heldUntilNanos = new ArrayDeque<>();
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private final DecayingCount recentCalls = new DecayingCount(RATE_HALF_LIFE_SECONDS);
    private final TokenBucket localAllowance;
    private CallLimit limit;
    private boolean isAsking;
    private long pausedUntilNanos;
    private long allowed;
    private long refused;
    private long usedAtNanos;

    private record Waiter(PermitKind kind, CompletableFuture<PermitDecision> decision) {}

    /** A decision that is made known without the lock of the table. */
    record Completion(CompletableFuture<PermitDecision> future, PermitDecision decision) {}

    /** Calls that wait for the reply to one demand. */
    static final class Round {
        private final Deque<Waiter> waiters;
        private final long askedAtNanos;
        private Option<PermitGrant> lastGrant = Option.none();
        private boolean answered;

        private Round(Deque<Waiter> waiters, long askedAtNanos) {
            this.waiters = waiters;
            this.askedAtNanos = askedAtNanos;
        }

        /** Returns whether no call of the round waits any more. */
        boolean isServed() {
            return waiters.isEmpty();
        }

        int count(PermitKind kind) {
            return (int) waiters.stream().filter(waiter -> waiter.kind() == kind).count();
        }
    }

    CustomerPermits(CustomerName customer, CallLimit limit, long nowNanos) {
        this.customer = customer;
        this.limit = limit;
        this.localAllowance = new TokenBucket(Double.MAX_VALUE, nowNanos);
        this.usedAtNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
    }

    /** Uses a held permit, or lets the call wait. */
    CompletableFuture<PermitDecision> acquire(CallLimit current, PermitKind kind, long nowNanos) {
        applyLimit(current);
        usedAtNanos = nowNanos;
        recentCalls.add(1, nowNanos);
        dropExpired(nowNanos);
        CompletableFuture<PermitDecision> decision = new CompletableFuture<>();
        if (heldUntilNanos.isEmpty()) {
            waiting.addLast(new Waiter(kind, decision));
        } else {
            decision.complete(granted(heldUntilNanos.removeFirst()));
        }
        return decision;
    }

    /** Drops the held permits when the limit was lowered: they belong to the former one. */
    private void applyLimit(CallLimit current) {
        boolean lowered =
                current.callsPerSecond() < limit.callsPerSecond()
                        || current.burst() < limit.burst();
        if (lowered) {
            heldUntilNanos.clear();
        }
        limit = current;
    }

    private void dropExpired(long nowNanos) {
        heldUntilNanos.removeIf(until -> until - nowNanos <= 0);
    }

    private PermitDecision granted(long expiresAtNanos) {
        allowed++;
        return new PermitDecision.Granted(new PermitDecision.Permit(customer, expiresAtNanos));
    }

    /** Takes back a permit that was not used. */
    void giveBack(PermitDecision.Permit permit) {
        allowed--;
        heldUntilNanos.addLast(permit.expiresAtNanos());
    }

    /** Begins to ask for what is needed; none if nothing is, or a reply is awaited. */
    Option<Round> beginRound(long nowNanos) {
        dropExpired(nowNanos);
        boolean isNeeded = !waiting.isEmpty() || expectedCalls(nowNanos) > 0;
        if (isAsking || !isNeeded || pausedUntilNanos - nowNanos > 0) {
            return Option.none();
        }
        isAsking = true;
        Round round = new Round(new ArrayDeque<>(waiting), nowNanos);
        waiting.clear();
        return Option.some(round);
    }

    private int expectedCalls(long nowNanos) {
        int expected = (int) (recentCalls.perSecond(nowNanos) * EXPECTED_SECONDS);
        return heldUntilNanos.isEmpty() ? expected : 0;
    }

    PermitDemand demand(Round round, long nowNanos) {
        return new PermitDemand(
                customer,
                round.count(PermitKind.FIRST_TURN),
                round.count(PermitKind.OTHER),
                expectedCalls(nowNanos),
                limit);
    }

    /** Gives the permits of a reply to the calls that wait for it, and keeps the rest. */
    Vector<Completion> apply(Round round, PermitGrant grant, long askedAtNanos) {
        round.answered = true;
        round.lastGrant = Option.some(grant);
        long expiresAtNanos = askedAtNanos + LIFETIME_NANOS;
        Vector<Completion> first =
                serve(round, PermitKind.FIRST_TURN, grant.firstTurns(), expiresAtNanos);
        Vector<Completion> others =
                serve(round, PermitKind.OTHER, grant.otherCalls(), expiresAtNanos);
        int kept = grant.firstTurns() - first.size() + grant.otherCalls() - others.size();
        for (int i = 0; i < kept; i++) {
            heldUntilNanos.addLast(expiresAtNanos);
        }
        return first.appendAll(others);
    }

    private Vector<Completion> serve(
            Round round, PermitKind kind, int permits, long expiresAtNanos) {
        Vector<Completion> served = Vector.empty();
        Iterator<Waiter> waiters = round.waiters.iterator();
        while (waiters.hasNext() && served.size() < permits) {
            Waiter waiter = waiters.next();
            if (waiter.kind() == kind) {
                waiters.remove();
                served = served.append(new Completion(waiter.decision(), granted(expiresAtNanos)));
            }
        }
        return served;
    }

    /** Ends a round: the calls that got no permit are refused, unless no host has answered. */
    Vector<Completion> endRound(
            Round round,
            Option<HostId> repliedBy,
            LimitBounds bounds,
            double ownShare,
            long nowNanos) {
        isAsking = false;
        if (!round.isServed()) {
            pausedUntilNanos = round.askedAtNanos + GATHERING_NANOS;
        }
        Vector<Completion> completions = Vector.empty();
        for (Waiter waiter : round.waiters) {
            PermitDecision decision =
                    !round.answered && takeLocal(bounds, ownShare, nowNanos)
                            ? granted(nowNanos + LIFETIME_NANOS)
                            : refuse(round, repliedBy, nowNanos);
            completions = completions.append(new Completion(waiter.decision(), decision));
        }
        round.waiters.clear();
        return completions;
    }

    private boolean takeLocal(LimitBounds bounds, double ownShare, long nowNanos) {
        localAllowance.update(
                bounds.localRate(limit, ownShare), bounds.localCapacity(limit, ownShare), nowNanos);
        return localAllowance.take(1) == 1;
    }

    private PermitDecision refuse(Round round, Option<HostId> repliedBy, long nowNanos) {
        refused++;
        return new PermitDecision.Refused(
                round.lastGrant
                        .map(PermitGrant::retryAfter)
                        .getOrElse(PermitTable.UNANSWERED_DELAY),
                round.lastGrant.map(PermitGrant::remaining).getOrElse(0.0),
                repliedBy,
                Duration.ofNanos(nowNanos - round.askedAtNanos));
    }

    Duration pause(long nowNanos) {
        return Duration.ofNanos(Math.max(0, pausedUntilNanos - nowNanos));
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    boolean isIdle(long nowNanos, long idleNanos) {
        return !isAsking && waiting.isEmpty() && nowNanos - usedAtNanos > idleNanos;
    }

    CustomerUsage usage(long nowNanos) {
        return new CustomerUsage(
                customer, limit, recentCalls.perSecond(nowNanos), allowed, refused);
    }
}
