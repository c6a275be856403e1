package org.tamarackfold.caller.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.HostId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * The trials that this host has granted to all hosts: one copy of each suspected request at a time.
 * Thread-safe.
 */
final class TrialLedger {
    /** Delay before a host asks again while another copy is under way. */
    private static final Duration RECHECK = Duration.ofMillis(100);

    /** Trials under way at a time; bounds the memory that other hosts can take. */
    private static final int MAXIMUM_TRIALS = 1_024;

    private record Trial(HostId host, long expiresAtNanos) {}

    private final TableLock lock = new TableLock(LockRank.QUARANTINE);
    private final Map<TrialKey, Trial> trials = new HashMap<>();

    /**
     * Decides on a copy of a request.
     *
     * @param verdict what this host knows of the request
     * @param lease after which time the trial counts as ended, if the host does not say so
     */
    TrialDecision request(
            TrialKey key, HostId host, Verdict verdict, Duration lease, long nowNanos) {
        return switch (verdict) {
            case Verdict.Clear() -> new TrialDecision.Granted();
            case Verdict.Quarantined(Duration remaining) -> new TrialDecision.Denied(remaining);
            case Verdict.Suspected(int ends, Duration sinceLastEnd, var _) -> {
                Duration hold = ends > 1 ? QuarantineTimes.LATER_HOLD : QuarantineTimes.FIRST_HOLD;
                yield sinceLastEnd.compareTo(hold) < 0
                        ? new TrialDecision.Later(hold.minus(sinceLastEnd))
                        : grant(key, new Trial(host, nowNanos + lease.toNanos()), nowNanos);
            }
        };
    }

    private TrialDecision grant(TrialKey key, Trial trial, long nowNanos) {
        return lock.withLock(
                () -> {
                    Trial current = trials.get(key);
                    if (current != null && current.expiresAtNanos() - nowNanos > 0) {
                        return new TrialDecision.Later(RECHECK);
                    }
                    if (trials.size() >= MAXIMUM_TRIALS) {
                        trials.values().removeIf(old -> old.expiresAtNanos() - nowNanos <= 0);
                    }
                    if (trials.size() >= MAXIMUM_TRIALS) {
                        return new TrialDecision.Later(RECHECK);
                    }
                    trials.put(key, trial);
                    return new TrialDecision.Granted();
                });
    }

    /** Ends the trial of a host. */
    void end(TrialKey key, HostId host) {
        lock.run(
                () ->
                        trials.computeIfPresent(
                                key, (unused, trial) -> trial.host().equals(host) ? null : trial));
    }
}
