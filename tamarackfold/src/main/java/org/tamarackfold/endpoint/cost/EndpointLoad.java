package org.tamarackfold.endpoint.cost;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tamarackfold.id.CustomerName;

/**
 * Remaining work of one endpoint: that of the calls of this host, and that of the other hosts as of
 * the last totals. Not thread-safe.
 */
final class EndpointLoad {
    /** Age up to which totals are used; five reports may be late or lost. */
    static final long TOTALS_VALIDITY_NANOS = 500_000_000L;

    private final Set<CallInFlight> ownCalls = new LinkedHashSet<>();
    private double othersRemainingMillis;
    private int othersInFlight;
    private long totalsAtNanos;

    void add(CallInFlight call) {
        ownCalls.add(call);
    }

    void remove(CallInFlight call) {
        ownCalls.remove(call);
    }

    boolean contains(CallInFlight call) {
        return ownCalls.contains(call);
    }

    /** Sets the load by the other hosts. */
    void setOthers(double remainingMillis, int inFlight, long nowNanos) {
        othersRemainingMillis = Math.max(0, remainingMillis);
        othersInFlight = Math.max(0, inFlight);
        totalsAtNanos = nowNanos;
    }

    private boolean hasTotals(long nowNanos) {
        return nowNanos - totalsAtNanos <= TOTALS_VALIDITY_NANOS;
    }

    int ownInFlight() {
        return ownCalls.size();
    }

    int inFlight(long nowNanos) {
        return ownCalls.size() + othersInFlight(nowNanos);
    }

    int othersInFlight(long nowNanos) {
        return hasTotals(nowNanos) ? othersInFlight : 0;
    }

    double othersRemainingMillis(long nowNanos) {
        return hasTotals(nowNanos) ? othersRemainingMillis : 0;
    }

    /** Adds the remaining work of the calls of this host to the sums by customer. */
    void addCustomerWork(Map<CustomerName, Double> sums, double rate, long nowNanos) {
        for (CallInFlight call : ownCalls) {
            for (CustomerName customer : call.call().customer()) {
                sums.merge(customer, call.remainingMillis(rate, nowNanos), Double::sum);
            }
        }
    }

    double ownRemainingMillis(double rate, long nowNanos) {
        double sum = 0;
        for (CallInFlight call : ownCalls) {
            sum += call.remainingMillis(rate, nowNanos);
        }
        return sum;
    }
}
