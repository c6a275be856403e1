package org.tamarackfold.endpoint.share;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * The customers over their share of each service, as a host knows them from the last totals.
 * Thread-safe; times are monotonic.
 */
public final class ShareTable {
    /** Age up to which totals are used; five reports may be late or lost. */
    private static final long VALIDITY_NANOS = 500_000_000L;

    /** Interval in which a customer is logged as over its share at most once. */
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    private final TableLock lock = new TableLock(LockRank.LOADS);
    private final Map<ServiceName, Known> services = new HashMap<>();
    private final Map<CustomerName, Long> loggedAtNanos = new HashMap<>();

    private record Known(Map<CustomerName, OverShare> over, double drainMillis, long atNanos) {
        static Known of(ShareTotals totals, long nowNanos) {
            return new Known(
                    totals.overShare()
                            .toJavaStream()
                            .collect(
                                    Collectors.toUnmodifiableMap(
                                            OverShare::customer,
                                            over -> over,
                                            (first, _) -> first)),
                    totals.drainMillis(),
                    nowNanos);
        }

        Duration age(long nowNanos) {
            return Duration.ofNanos(nowNanos - atNanos);
        }

        /** Work drains at the rate of the share, which the customer has to itself. */
        Duration drainTime(OverShare customer) {
            return Duration.ofMillis((long) ((customer.ratio() - 1) * drainMillis));
        }
    }

    /** Replaces what is known of a service by newer totals. */
    public void adopt(ServiceName service, ShareTotals totals, long nowNanos) {
        Known known = Known.of(totals, nowNanos);
        lock.run(
                () -> {
                    if (known.over().isEmpty()) {
                        services.remove(service);
                    } else {
                        services.put(service, known);
                    }
                });
    }

    /**
     * Decides what happens to a stream.
     *
     * @param customer the customer of the stream; none if it belongs to none
     * @param isFirstTurn whether it begins a program; others are never refused
     * @param draw a random number from 0 to 1
     */
    public ShareDecision decide(
            ServiceName service,
            Option<CustomerName> customer,
            boolean isFirstTurn,
            double draw,
            long nowNanos) {
        Option<Known> valid = known(service, nowNanos);
        if (valid.isEmpty() || customer.isEmpty()) {
            return new ShareDecision.Unaffected();
        }
        Known known = valid.get();
        OverShare over = known.over().get(customer.get());
        if (over == null) {
            return new ShareDecision.Admitted();
        }
        return isFirstTurn && draw < over.refusedPart()
                ? new ShareDecision.Refused(over, known.age(nowNanos), known.drainTime(over))
                : new ShareDecision.Later(over, known.age(nowNanos), over.orderIncrease());
    }

    /** Returns by how much the order of an attempt of a stream is raised now. */
    public int orderIncrease(ServiceName service, Option<CustomerName> customer, long nowNanos) {
        return customer.flatMap(
                        name ->
                                known(service, nowNanos)
                                        .flatMap(known -> Option.of(known.over().get(name))))
                .map(OverShare::orderIncrease)
                .getOrElse(0);
    }

    private Option<Known> known(ServiceName service, long nowNanos) {
        return lock.withLock(() -> Option.of(services.get(service)))
                .filter(known -> nowNanos - known.atNanos() <= VALIDITY_NANOS);
    }

    /** Returns whether a customer over its share is to be logged now, and if so, notes it. */
    public boolean mayLog(CustomerName customer, long nowNanos) {
        return lock.withLock(
                () -> {
                    loggedAtNanos
                            .values()
                            .removeIf(atNanos -> nowNanos - atNanos >= LOG_INTERVAL_NANOS);
                    return loggedAtNanos.putIfAbsent(customer, nowNanos) == null;
                });
    }
}
