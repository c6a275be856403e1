package org.tamarackfold.daemon.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The faults of a run with their times on the clock of {@link System#nanoTime}. Thread-safe. */
public final class FaultTimeline {
    /** Time for which a fault excuses what happens after its end, in nanoseconds. */
    public static final long CONTACT_NANOS = 3_000_000_000L;

    /** Scope of a fault of all hosts. */
    public static final String ALL_HOSTS = "all hosts";

    /** What a fault excuses. */
    public enum Kind {
        /** Work that operators announce, such as SIGTERM. */
        PLANNED,
        /** Entry hosts that are cut off from endpoints and must serve nevertheless. */
        CUT,
        /**
         * Hosts that the key-value service does not serve; keys must be withdrawn there as well.
         */
        KEY_VALUE,
        /** Disruptions that may hold requests back and release them together. */
        HOLD,
        /** Any other disruption. */
        UNPLANNED
    }

    /** A fault. */
    public static final class Entry {
        private final String scope;
        private final Kind kind;
        private final long startNanos = System.nanoTime();
        private volatile long endNanos = Long.MAX_VALUE;

        private Entry(String scope, Kind kind) {
            this.scope = scope;
            this.kind = kind;
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
     */
    public Entry begin(String scope, Kind kind) {
        Entry entry = new Entry(scope, kind);
        entries.add(entry);
        return entry;
    }

    /** Returns whether an unplanned fault excuses an event in this period. */
    boolean isDisturbed(long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> entry.kind != Kind.PLANNED)
                .anyMatch(entry -> entry.overlaps(fromNanos - CONTACT_NANOS, toNanos));
    }

    /** Returns whether a fault may have kept a release from a host for longer than allowed. */
    boolean mayDelayReleases(long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> entry.kind != Kind.PLANNED && entry.kind != Kind.KEY_VALUE)
                .anyMatch(entry -> entry.overlaps(fromNanos - CONTACT_NANOS, toNanos));
    }

    /** Returns whether requests may have been held back before a period or in it. */
    boolean mayHoldRequests(long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> entry.kind == Kind.HOLD || entry.kind == Kind.CUT)
                .anyMatch(entry -> entry.overlaps(fromNanos - CONTACT_NANOS, toNanos));
    }

    /** Returns whether faults other than cuts between hosts and endpoints were in force. */
    boolean hasOtherThanCuts(long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> entry.kind == Kind.UNPLANNED || entry.kind == Kind.HOLD)
                .anyMatch(entry -> entry.overlaps(fromNanos - CONTACT_NANOS, toNanos));
    }

    /** Returns whether any fault of this scope excuses an event at a time. */
    boolean isDisturbed(String scope, long atNanos) {
        return entries.stream()
                .filter(entry -> entry.scope.equals(scope))
                .anyMatch(entry -> entry.overlaps(atNanos - CONTACT_NANOS, atNanos));
    }

    /** Returns whether a host was restarted or frozen in a period. */
    boolean wasInterrupted(String host, long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> entry.scope.equals(host) || entry.scope.equals(ALL_HOSTS))
                .anyMatch(entry -> entry.overlaps(fromNanos, toNanos));
    }

    /** Returns whether a host was cut off from endpoints in a period. */
    boolean wasCutOff(String host, long fromNanos, long toNanos) {
        return entries.stream()
                .filter(entry -> entry.kind == Kind.CUT && entry.scope.contains(host))
                .anyMatch(entry -> entry.overlaps(fromNanos, toNanos));
    }

    /** Returns the start of the planned stop of a scope in force at a time; -1 when none is. */
    long plannedStopAt(String scope, long atNanos) {
        return entries.stream()
                .filter(entry -> entry.kind == Kind.PLANNED && entry.scope.equals(scope))
                .filter(entry -> entry.overlaps(atNanos, atNanos))
                .mapToLong(entry -> entry.startNanos)
                .findFirst()
                .orElse(-1);
    }
}
