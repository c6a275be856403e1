package org.tamarackfold.daemon.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares how often the calls of each steady customer are served with those of all customers, in
 * windows of a run. Calls that are rightly refused do not count. Guarded by its own monitor, within
 * which only those of {@link FaultTimeline} and {@link Ledger} are taken.
 */
public final class ServedShares {
    /** Length of a window; each begins half a window after the one before, in nanoseconds. */
    private static final long WINDOW_NANOS = 8_000_000_000L;

    /** A customer is starved when it is served less than this part as often as the reference. */
    private static final double LEAST_PART = 0.25;

    /** Calls of a customer in a window below which a few failures would decide. */
    private static final int LEAST_CALLS = 6;

    private static final int UNAUTHORIZED = CustomerChecks.UNAUTHORIZED;
    private static final int PAYMENT_REQUIRED = 402;
    private static final int TOO_MANY_REQUESTS = 429;

    /** A call with all its attempts. */
    private record Call(Customer customer, boolean served, long endNanos) {}

    private static final class Count {
        int calls;
        int served;

        void add(Call call) {
            calls++;
            served += call.served ? 1 : 0;
        }

        double share() {
            return (double) served / calls;
        }

        @Override
        public String toString() {
            return served + " of " + calls;
        }
    }

    private final Ledger ledger;
    private final FaultTimeline faults;
    private final boolean flooded;
    private final List<Call> calls = new ArrayList<>();

    /**
     * Creates an empty comparison.
     *
     * @param flooded whether customers send more than the endpoints can run; otherwise customers
     *     are compared with calls that are all served
     */
    public ServedShares(Ledger ledger, FaultTimeline faults, boolean flooded) {
        this.ledger = ledger;
        this.faults = faults;
        this.flooded = flooded;
    }

    /** Forgets the calls until now, which met hosts that were starting. */
    public synchronized void begin() {
        calls.clear();
    }

    /** Records how the last attempt of a call ended. */
    public synchronized void ended(
            Customer customer, CallKind kind, Outcome outcome, long nowNanos) {
        if (!(kind instanceof CallKind.ForeignTurn) && !isRightlyRefused(customer, outcome)) {
            calls.add(new Call(customer, outcome instanceof Outcome.Served, nowNanos));
        }
    }

    private static boolean isRightlyRefused(Customer customer, Outcome outcome) {
        return outcome instanceof Outcome.Rejected(int status, long _)
                && switch (status) {
                    case UNAUTHORIZED, PAYMENT_REQUIRED -> true;
                    case TOO_MANY_REQUESTS -> customer.hasLimit() && !customer.isSteady();
                    default -> false;
                };
    }

    /** Checks all windows of a run that no unplanned fault disturbed. */
    public synchronized void check(long fromNanos, long toNanos) {
        for (long startNanos = fromNanos;
                startNanos + WINDOW_NANOS <= toNanos;
                startNanos += WINDOW_NANOS / 2) {
            if (!faults.isDisturbed(startNanos, startNanos + WINDOW_NANOS)) {
                checkWindow(startNanos);
            }
        }
    }

    private void checkWindow(long startNanos) {
        Map<Customer, Count> counts = new LinkedHashMap<>();
        Count all = new Count();
        for (Call call : calls) {
            if (call.endNanos >= startNanos && call.endNanos < startNanos + WINDOW_NANOS) {
                counts.computeIfAbsent(call.customer, customer -> new Count()).add(call);
                all.add(call);
            }
        }
        double reference = flooded ? all.share() : 1;
        counts.forEach(
                (customer, count) -> {
                    if (customer.isSteady()
                            && count.calls >= LEAST_CALLS
                            && count.share() < LEAST_PART * reference) {
                        report(customer, count, all, startNanos);
                    }
                });
    }

    private void report(Customer customer, Count count, Count all, long startNanos) {
        String seen = "%s calls of %s served in the 8 s from %.3fs, %s of all customers";
        ledger.report(
                Rule.STARVED,
                "none",
                seen.formatted(count, customer.name(), ledger.seconds(startNanos), all));
    }

    /** Returns the calls served of each customer, which a run prints at its end. */
    public synchronized String summary() {
        Map<String, Count> counts = new LinkedHashMap<>();
        for (Call call : calls) {
            String name = call.customer.name().value();
            counts.computeIfAbsent(name, key -> new Count()).add(call);
        }
        return counts.toString();
    }
}
