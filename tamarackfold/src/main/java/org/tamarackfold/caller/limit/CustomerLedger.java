package org.tamarackfold.caller.limit;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** Grants permits of the customers whose limits this host owns or stands in for. Thread-safe. */
public final class CustomerLedger {
    /** Interval at which balances whose buckets are full are removed. */
    private static final long CLEANING_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final LimitBounds bounds;
    private final TableLock lock = new TableLock(LockRank.CUSTOMERS);
    private final Map<CustomerName, CustomerBalance> balances = new HashMap<>();
    private long cleanedAtNanos;

    /** Creates an empty ledger. */
    public CustomerLedger(LimitBounds bounds, long nowNanos) {
        this.bounds = bounds;
        this.cleanedAtNanos = nowNanos;
    }

    /**
     * Grants what the limit allows.
     *
     * @param ownLimit the limit in the release of this host; none if it has none. While releases
     *     differ, the lower limit applies, so that a lowered one is in force at once
     */
    public PermitGrant grant(
            PermitDemand demand, Option<CallLimit> ownLimit, Ownership ownership, long nowNanos) {
        CallLimit limit = ownLimit.map(own -> lower(own, demand.limit())).getOrElse(demand.limit());
        return lock.withLock(
                () -> {
                    removeIdle(nowNanos);
                    return balances.computeIfAbsent(
                                    demand.customer(), name -> new CustomerBalance(nowNanos))
                            .grant(demand, limit, ownership, bounds, nowNanos);
                });
    }

    private static CallLimit lower(CallLimit one, CallLimit other) {
        return new CallLimit(
                Math.min(one.callsPerSecond(), other.callsPerSecond()),
                Math.min(one.burst(), other.burst()));
    }

    private void removeIdle(long nowNanos) {
        if (nowNanos - cleanedAtNanos < CLEANING_NANOS) {
            return;
        }
        cleanedAtNanos = nowNanos;
        balances.values().removeIf(balance -> balance.isIdle(nowNanos));
    }

    /** Returns the number of customers with a balance. */
    public int size() {
        return lock.withLock(balances::size);
    }
}
