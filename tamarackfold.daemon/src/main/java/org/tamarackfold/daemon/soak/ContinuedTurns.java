package org.tamarackfold.daemon.soak;

import io.vavr.collection.Vector;

/**
 * Checks that turns which continue a program are not refused all the time: a caller waits for a
 * turn to end before it sends the next one, so no reservation of its program is outstanding then.
 * Guarded by its own monitor, within which only that of {@link Ledger} is taken.
 */
public final class ContinuedTurns {
    private static final int UNAVAILABLE = 503;

    /** Attempts of a turn with 503 after which it counts as refused; later ones may lack a key. */
    private static final int REFUSED_ATTEMPTS = 2;

    /** Turns that may be refused by every host that was tried, as beside a planned stop. */
    private static final int ALLOWED_REFUSALS = 2;

    /** Part of the turns that may be refused so. */
    private static final double ALLOWED_PART = 0.2;

    private final Ledger ledger;
    private final FaultTimeline faults;
    private int served;
    private int refused;

    /** Creates checks that report to a ledger. */
    public ContinuedTurns(Ledger ledger, FaultTimeline faults) {
        this.ledger = ledger;
        this.faults = faults;
    }

    /**
     * Records how a turn that continues a program ended for its caller. Turns that ended otherwise,
     * as with an invalid key or a spent budget, do not count.
     *
     * @param outcomes how its attempts ended, in their order
     */
    public synchronized void ended(Vector<Outcome> outcomes, long sentNanos, long nowNanos) {
        if (faults.isDisturbed(sentNanos, nowNanos)) {
            return;
        }
        if (outcomes.last() instanceof Outcome.Served) {
            served++;
        } else if (outcomes.count(ContinuedTurns::isUnavailable) >= REFUSED_ATTEMPTS) {
            refused++;
        }
    }

    private static boolean isUnavailable(Outcome outcome) {
        return outcome instanceof Outcome.Rejected(int status, long _) && status == UNAVAILABLE;
    }

    /** Checks the turns of a run at its end. */
    public synchronized void check() {
        int turns = served + refused;
        if (refused > ALLOWED_REFUSALS && refused > ALLOWED_PART * turns) {
            String seen = "%d of %d turns that continue a program were refused by all hosts tried";
            ledger.report(Rule.BUDGET, "none", seen.formatted(refused, turns));
        }
    }
}
