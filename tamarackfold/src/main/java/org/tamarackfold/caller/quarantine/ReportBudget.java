package org.tamarackfold.caller.quarantine;

import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Bounds the reports that a host sends. Where many endpoints end at once, the strongest suspicions
 * go first, and what is left out follows in later messages. Thread-safe.
 */
final class ReportBudget {
    /** A report takes about 100 bytes, of the 20 KB/s that a host may spend for control. */
    private static final double REPORTS_PER_SECOND = 100;

    private static final double BURST = 200;

    private final TableLock lock = new TableLock(LockRank.QUARANTINE);
    private final Scheduler scheduler;
    private double available = BURST;
    private long updatedAtNanos;

    ReportBudget(Scheduler scheduler) {
        this.scheduler = scheduler;
        this.updatedAtNanos = scheduler.nanoTime();
    }

    /** Takes as many reports as may be sent now, at most the given number. */
    int take(int wanted) {
        long nowNanos = scheduler.nanoTime();
        return lock.withLock(
                () -> {
                    double added = (nowNanos - updatedAtNanos) / 1e9 * REPORTS_PER_SECOND;
                    available = Math.min(BURST, available + added);
                    updatedAtNanos = nowNanos;
                    int taken = (int) Math.min(wanted, available);
                    available -= taken;
                    return taken;
                });
    }
}
