package org.tamarackfold.endpoint;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * Reports whether this host reaches any endpoint: a change at once, and what follows within an
 * interval at its end. Thread-safe.
 */
final class ContactReporter {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    /** Shortest time between two reports, which are written to the key-value service. */
    private static final Duration MINIMUM_INTERVAL = Duration.ofSeconds(1);

    private final TableLock lock = new TableLock(LockRank.REACHABILITY);
    private final BooleanSupplier contact;
    private final ContactListener listener;
    private final Scheduler scheduler;
    private boolean isWaiting;
    private boolean reported = true;

    /**
     * Creates a reporter of a host that has reported contact.
     *
     * @param contact tells whether the host reaches any endpoint now
     */
    ContactReporter(BooleanSupplier contact, ContactListener listener, Scheduler scheduler) {
        this.contact = contact;
        this.listener = listener;
        this.scheduler = scheduler;
    }

    /** Reports the contact if it has changed since the last report. */
    void report() {
        boolean now = contact.getAsBoolean();
        if (!beginReport(now)) {
            return;
        }
        LOG.event(now ? "endpoints_regained" : "endpoints_lost").warn();
        listener.onContactChanged(now);
        scheduler.after(MINIMUM_INTERVAL, this::endInterval);
    }

    private boolean beginReport(boolean now) {
        return lock.withLock(
                () -> {
                    if (isWaiting || reported == now) {
                        return false;
                    }
                    isWaiting = true;
                    reported = now;
                    return true;
                });
    }

    private void endInterval() {
        lock.run(() -> isWaiting = false);
        report();
    }
}
