package org.tamarackfold.caller.limit;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.operator.CallLimit;

/** What this host may still grant of the limit of one customer. Guarded by the ledger. */
final class CustomerBalance {
    /** Longest delay until the next permit that is reported; callers have deadlines of seconds. */
    private static final double MAXIMUM_RETRY_SECONDS = 3;

    private static final long MINIMUM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** A balance that was updated this long before a takeover did not see the grants before it. */
    private static final long UNOBSERVED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final TokenBucket ownerBucket;
    private final TokenBucket fallbackBucket;
    private final FirstTurnPacing pacing;

    /** The calls that were refused and may come back; they share the next permits. */
    private double refusedCalls;

    private long refusedAtNanos;

    private boolean wasOwner;
    private long idleAtNanos;

    CustomerBalance(long nowNanos) {
        ownerBucket = new TokenBucket(Double.MAX_VALUE, nowNanos);
        fallbackBucket = new TokenBucket(Double.MAX_VALUE, nowNanos);
        pacing = new FirstTurnPacing(nowNanos);
        refusedAtNanos = nowNanos;
        idleAtNanos = nowNanos + MINIMUM_IDLE_NANOS;
    }

    /** Returns whether a new balance would hold as much as this one. */
    boolean isIdle(long nowNanos) {
        return nowNanos - idleAtNanos > 0;
    }

    PermitGrant grant(
            PermitDemand demand,
            CallLimit limit,
            Ownership ownership,
            LimitBounds bounds,
            long nowNanos) {
        double secondsToFill = bounds.ownerCapacity(limit) / limit.callsPerSecond();
        idleAtNanos = nowNanos + Math.max(MINIMUM_IDLE_NANOS, (long) (secondsToFill * 1e9));
        return switch (ownership) {
            case Ownership.Owner(long sinceNanos) -> {
                updateOwned(limit, bounds, sinceNanos, nowNanos);
                yield grantFrom(ownerBucket, demand, limit, bounds, nowNanos);
            }
            case Ownership.Fallback() -> {
                wasOwner = false;
                double perSecond = bounds.fallbackRate(limit);
                fallbackBucket.update(perSecond, bounds.fallbackCapacity(limit), nowNanos);
                yield grantAsFallback(demand, perSecond, nowNanos);
            }
            case Ownership.None() -> {
                wasOwner = false;
                yield new PermitGrant(demand.customer(), 0, 0, Duration.ZERO, false, 0);
            }
        };
    }

    /** Fills the bucket, at most with what has accrued since this host is the owner. */
    private void updateOwned(CallLimit limit, LimitBounds bounds, long sinceNanos, long nowNanos) {
        double perSecond = limit.callsPerSecond();
        double capacity = bounds.ownerCapacity(limit);
        boolean unobserved = sinceNanos - ownerBucket.updatedAtNanos() > UNOBSERVED_NANOS;
        ownerBucket.update(perSecond, capacity, nowNanos);
        if (!wasOwner || unobserved) {
            // Not more than before: this host may have been the owner, with a short interruption.
            ownerBucket.clamp(perSecond * Math.max(0, nowNanos - sinceNanos) / 1e9);
        }
        wasOwner = true;
    }

    private PermitGrant grantFrom(
            TokenBucket bucket,
            PermitDemand demand,
            CallLimit limit,
            LimitBounds bounds,
            long nowNanos) {
        double capacity = bounds.ownerCapacity(limit);
        int others = bucket.take(demand.otherCalls());
        int admitted =
                pacing.admit(
                        demand.firstTurns(),
                        limit.callsPerSecond(),
                        bucket.tokens(),
                        capacity,
                        nowNanos);
        int firstTurns = bucket.take(admitted);
        int refused = demand.otherCalls() - others + demand.firstTurns() - firstTurns;
        pacing.record(demand, firstTurns, others, bucket.tokens() / capacity, nowNanos);
        int expected = 0;
        double half = capacity / 2;
        if (!pacing.isUnderPressure(nowNanos) && bucket.tokens() > half) {
            // Permits that wait at hosts are not there for calls elsewhere.
            expected =
                    bucket.take(Math.min(demand.expectedCalls(), (int) (bucket.tokens() - half)));
        }
        return new PermitGrant(
                demand.customer(),
                firstTurns,
                others + expected,
                retryAfter(refused, limit.callsPerSecond(), nowNanos),
                true,
                bucket.tokens());
    }

    private PermitGrant grantAsFallback(PermitDemand demand, double perSecond, long nowNanos) {
        int others = fallbackBucket.take(demand.otherCalls());
        int firstTurns = fallbackBucket.take(demand.firstTurns());
        int refused = demand.otherCalls() - others + demand.firstTurns() - firstTurns;
        return new PermitGrant(
                demand.customer(),
                firstTurns,
                others,
                retryAfter(refused, perSecond, nowNanos),
                false,
                fallbackBucket.tokens());
    }

    /** Returns when the next permit is due after those for the calls that were refused before. */
    private Duration retryAfter(int refused, double perSecond, long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - refusedAtNanos) / 1e9;
        double before = Math.max(0, refusedCalls - perSecond * elapsedSeconds);
        refusedCalls = Math.min(perSecond * MAXIMUM_RETRY_SECONDS, before + refused);
        refusedAtNanos = nowNanos;
        double seconds = Math.min(MAXIMUM_RETRY_SECONDS, (1 + refusedCalls) / perSecond);
        return refused == 0 ? Duration.ZERO : Duration.ofNanos((long) (seconds * 1e9));
    }
}
