package org.tamarackfold.caller.limit;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** The permits that this host holds, and the calls that wait for permits. Thread-safe. */
public final class PermitTable {
    /** Delay after a refusal because no other host has answered. */
    static final Duration UNANSWERED_DELAY = Duration.ofMillis(500);

    /** Customers without calls for this time are removed. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final LimitBounds bounds;
    private final TableLock lock = new TableLock(LockRank.CUSTOMERS);
    private final Map<CustomerName, CustomerPermits> customers = new HashMap<>();
    private long cleanedAtNanos;

    /** Creates an empty table. */
    public PermitTable(LimitBounds bounds, long nowNanos) {
        this.bounds = bounds;
        this.cleanedAtNanos = nowNanos;
    }

    /** Returns the decision on a call: known at once when a permit is held. */
    CompletableFuture<PermitDecision> acquire(
            CustomerName customer, CallLimit limit, PermitKind kind, long nowNanos) {
        return lock.withLock(
                () -> {
                    removeIdle(nowNanos);
                    return customers
                            .computeIfAbsent(
                                    customer, name -> new CustomerPermits(name, limit, nowNanos))
                            .acquire(limit, kind, nowNanos);
                });
    }

    /**
     * Takes back the permit of a call that is not sent; other calls may use it until it expires.
     */
    public void giveBack(PermitDecision.Permit permit) {
        lock.run(
                () ->
                        Option.of(customers.get(permit.customer()))
                                .forEach(permits -> permits.giveBack(permit)));
    }

    /** Begins to ask for the permits that a customer needs; none if none are needed now. */
    Option<CustomerPermits.Round> beginRound(CustomerName customer, long nowNanos) {
        return lock.withLock(
                () ->
                        Option.of(customers.get(customer))
                                .flatMap(permits -> permits.beginRound(nowNanos)));
    }

    /** Returns what the calls of a round still need. */
    PermitDemand demand(CustomerName customer, CustomerPermits.Round round, long nowNanos) {
        return lock.withLock(() -> customers.get(customer).demand(round, nowNanos));
    }

    /** Gives the permits of a reply to the calls that wait for it. */
    void apply(CustomerPermits.Round round, PermitGrant grant, long askedAtNanos) {
        complete(() -> customers.get(grant.customer()).apply(round, grant, askedAtNanos));
    }

    /**
     * Ends a round.
     *
     * @param repliedBy the host whose reply was the last; none if no host has answered
     * @param ownShare the part of the fleet that this host is, for its local allowance
     */
    void endRound(
            CustomerName customer,
            CustomerPermits.Round round,
            Option<HostId> repliedBy,
            double ownShare,
            long nowNanos) {
        complete(
                () ->
                        customers
                                .get(customer)
                                .endRound(round, repliedBy, bounds, ownShare, nowNanos));
    }

    /** Returns whether calls wait that are in no round. */
    boolean hasWaiting(CustomerName customer) {
        return lock.withLock(
                () -> Option.of(customers.get(customer)).exists(CustomerPermits::hasWaiting));
    }

    /** Returns the time until the next round of a customer may begin; zero if it may begin now. */
    Duration pause(CustomerName customer, long nowNanos) {
        return lock.withLock(() -> customers.get(customer).pause(nowNanos));
    }

    /** Makes decisions known after the lock is released: the calls go on at once. */
    private void complete(Supplier<Vector<CustomerPermits.Completion>> decide) {
        lock.withLock(decide)
                .forEach(completion -> completion.future().complete(completion.decision()));
    }

    private void removeIdle(long nowNanos) {
        if (nowNanos - cleanedAtNanos < IDLE_NANOS) {
            return;
        }
        cleanedAtNanos = nowNanos;
        customers.values().removeIf(permits -> permits.isIdle(nowNanos, IDLE_NANOS));
    }

    /** Returns the customers with calls in the last minute or so, those with most calls first. */
    public Vector<CustomerUsage> usage(long nowNanos) {
        return lock.withLock(
                () ->
                        Vector.ofAll(customers.values())
                                .map(permits -> permits.usage(nowNanos))
                                .sortBy(usage -> -usage.callsPerSecond()));
    }
}
