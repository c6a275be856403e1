package org.tamarackfold.caller.limit;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.time.Scheduler;

/**
 * Gets permits for the calls of this host: from the table, from its own ledger, or from the host
 * that owns the limit and, if that does not answer or is not the owner, from the next one.
 * Thread-safe.
 */
public final class PermitRequester {
    private static final StructuredLog LOG = StructuredLog.of("caller");

    private final HostId self;
    private final OwnerSelection owners;
    private final CustomerLedger ledger;
    private final PermitTable table;
    private final PermitChannel channel;
    private final Function<CustomerName, Option<CallLimit>> ownLimits;
    private final DoubleSupplier ownShare;
    private final Scheduler scheduler;

    private PermitRequester(Builder builder) {
        this.self = builder.self;
        this.owners = builder.owners;
        this.ledger = new CustomerLedger(builder.bounds, builder.scheduler.nanoTime());
        this.table = new PermitTable(builder.bounds, builder.scheduler.nanoTime());
        this.channel = builder.channel;
        this.ownLimits = builder.ownLimits;
        this.ownShare = builder.ownShare;
        this.scheduler = builder.scheduler;
    }

    /** Returns a builder; all fields are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the decision on a call; the future never fails. */
    public CompletableFuture<PermitDecision> acquire(
            CustomerName customer, CallLimit limit, PermitKind kind) {
        CompletableFuture<PermitDecision> decision =
                table.acquire(customer, limit, kind, scheduler.nanoTime());
        startRound(customer);
        return decision;
    }

    /** Takes back the permit of a call that is not sent. */
    public void giveBack(PermitDecision.Permit permit) {
        table.giveBack(permit);
    }

    /** Replies to the demand of a host, also to that of this host itself. */
    public PermitGrant grant(PermitDemand demand) {
        long nowNanos = scheduler.nanoTime();
        return ledger.grant(
                demand,
                ownLimits.apply(demand.customer()),
                owners.ownership(demand.customer(), nowNanos),
                nowNanos);
    }

    /** Returns the calls of the customers at this host. */
    public Vector<CustomerUsage> usage() {
        return table.usage(scheduler.nanoTime());
    }

    private void startRound(CustomerName customer) {
        long nowNanos = scheduler.nanoTime();
        for (CustomerPermits.Round round : table.beginRound(customer, nowNanos)) {
            Vector<HostId> candidates = owners.candidates(customer, nowNanos);
            ask(customer, round, candidates, Option.none())
                    .thenCompose(
                            repliedBy ->
                                    repliedBy.isDefined()
                                            ? CompletableFuture.completedFuture(repliedBy)
                                            // A single lost message refuses no call.
                                            : ask(customer, round, candidates.take(1), repliedBy))
                    .thenAccept(repliedBy -> endRound(customer, round, repliedBy));
        }
    }

    /** Asks hosts in turn until the owner has replied; returns the last one that did. */
    private CompletableFuture<Option<HostId>> ask(
            CustomerName customer,
            CustomerPermits.Round round,
            Vector<HostId> candidates,
            Option<HostId> repliedBy) {
        if (candidates.isEmpty()) {
            return CompletableFuture.completedFuture(repliedBy);
        }
        HostId host = candidates.head();
        long askedAtNanos = scheduler.nanoTime();
        return send(host, table.demand(customer, round, askedAtNanos))
                .thenCompose(
                        reply -> {
                            reply.forEach(grant -> table.apply(round, grant, askedAtNanos));
                            boolean enough = round.isServed() || reply.exists(PermitGrant::owner);
                            return ask(
                                    customer,
                                    round,
                                    enough ? Vector.empty() : candidates.tail(),
                                    reply.isDefined() ? Option.some(host) : repliedBy);
                        });
    }

    private CompletableFuture<Option<PermitGrant>> send(HostId host, PermitDemand demand) {
        return host.equals(self)
                ? CompletableFuture.completedFuture(Option.some(grant(demand)))
                : askContained(host, demand);
    }

    /** Takes an unexpected error for no reply: the round would not end, and its calls wait. */
    private CompletableFuture<Option<PermitGrant>> askContained(HostId host, PermitDemand demand) {
        CompletableFuture<Option<PermitGrant>> reply;
        try {
            reply = channel.ask(host, demand);
        } catch (RuntimeException | Error e) {
            reply = CompletableFuture.failedFuture(e);
        }
        return reply.exceptionally(
                error -> {
                    LOG.event("permit_request_failed")
                            .with("customer", demand.customer())
                            .with("peer", host)
                            .with("reason", error)
                            .warn();
                    return Option.none();
                });
    }

    private void endRound(
            CustomerName customer, CustomerPermits.Round round, Option<HostId> repliedBy) {
        table.endRound(customer, round, repliedBy, ownShare.getAsDouble(), scheduler.nanoTime());
        Duration pause = table.pause(customer, scheduler.nanoTime());
        if (pause.isPositive()) {
            scheduler.after(pause, () -> startRoundIfNeeded(customer));
        } else {
            startRoundIfNeeded(customer);
        }
    }

    private void startRoundIfNeeded(CustomerName customer) {
        if (table.hasWaiting(customer)) {
            startRound(customer);
        }
    }

    /** Builds a requester. */
    public static final class Builder {
        private HostId self;
        private OwnerSelection owners;
        private LimitBounds bounds;
        private PermitChannel channel;
        private Function<CustomerName, Option<CallLimit>> ownLimits;
        private DoubleSupplier ownShare;
        private Scheduler scheduler;

        private Builder() {}

        /** Sets this host. */
        public Builder self(HostId value) {
            self = value;
            return this;
        }

        /** Sets the selection of owners. */
        public Builder owners(OwnerSelection value) {
            owners = value;
            return this;
        }

        /** Sets how far calls may exceed a limit. */
        public Builder bounds(LimitBounds value) {
            bounds = value;
            return this;
        }

        /** Sets the channel to other hosts. */
        public Builder channel(PermitChannel value) {
            channel = value;
            return this;
        }

        /** Sets the limits in the release of this host. */
        public Builder ownLimits(Function<CustomerName, Option<CallLimit>> value) {
            ownLimits = value;
            return this;
        }

        /** Sets the part of the fleet that this host is. */
        public Builder ownShare(DoubleSupplier value) {
            ownShare = value;
            return this;
        }

        /** Sets the clock and the timers. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Creates the requester. */
        public PermitRequester build() {
            return new PermitRequester(this);
        }
    }
}
