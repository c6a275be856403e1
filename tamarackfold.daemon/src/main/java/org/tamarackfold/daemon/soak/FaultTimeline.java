package org.tamarackfold.daemon.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The faults of a run with their times on the clock of {@link System#nanoTime}. Thread-safe. */
public final class FaultTimeline {
    /** Time for which a fault excuses what happens after its end, in nanoseconds. */
    public static final long CONTACT_NANOS = 3_000_000_000L;

    /** A fault. */
    public static final class Entry {
        private final String scope;
        private final boolean planned;
        private final long startNanos = System.nanoTime();
        private volatile long endNanos = Long.MAX_VALUE;

        private Entry(String scope, boolean planned) {
            this.scope = scope;
            this.planned = planned;
        }

        /** Marks the end of the fault. */
        public void end() {
            endNanos = System.nanoTime();
        }

        private boolean overlaps(long fromNanos, long toNanos) {
            return startNanos <= toNanos && endNanos >= fromNanos;
        }
    }

    private final List<Entry> entries = new CopyOnWriteArrayList<>();

    /**
     * Records the start of a fault.
     *
     * @param scope the host or endpoint concerned, or a name of what else is
     * @param planned whether it is work that operators announce, such as SIGTERM
     */
    public Entry begin(String scope, boolean planned) {
        Entry entry = new Entry(scope, planned);
        entries.add(entry);
        return entry;
    }

    /** Returns whether an unplanned fault excuses an event in this period. */
    boolean isDisturbed(long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> !entry.planned)
                .anyMatch(entry -> entry.overlaps(fromNanos - CONTACT_NANOS, toNanos));
    }

    /** Returns whether any fault of this scope excuses an event at a time. */
    boolean isDisturbed(String scope, long atNanos) {
        return entries.stream()
                .filter(entry -> entry.scope.equals(scope))
                .anyMatch(entry -> entry.overlaps(atNanos - CONTACT_NANOS, atNanos));
    }

    /** Returns the start of the planned stop of a scope in force at a time; -1 when none is. */
    long plannedStopAt(String scope, long atNanos) {
        return entries.stream()
                .filter(entry -> entry.planned && entry.scope.equals(scope))
                .filter(entry -> entry.overlaps(atNanos, atNanos))
                .mapToLong(entry -> entry.startNanos)
                .findFirst()
                .orElse(-1);
    }
}
