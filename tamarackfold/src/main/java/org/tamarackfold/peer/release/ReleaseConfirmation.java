package org.tamarackfold.peer.release;

import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;
import org.tamarackfold.time.Scheduler;

/**
 * The last time at which the release of this host was known to be the newest. Every release that
 * was acknowledged before that time is in force here. Thread-safe.
 */
public final class ReleaseConfirmation {
    private final TableLock lock = new TableLock(LockRank.RELEASE);
    private final Scheduler clock;
    private Option<Long> confirmedAtNanos = Option.none();

    /** Creates the state of a host whose release was never confirmed. */
    public ReleaseConfirmation(Scheduler clock) {
        this.clock = clock;
    }

    /** Records that the key-value service has just confirmed the release. */
    public void confirmNow() {
        confirmAt(clock.nanoTime());
    }

    /** Records that the release was the newest at a time; an earlier time changes nothing. */
    public void confirmAt(long atNanos) {
        lock.run(
                () -> {
                    if (confirmedAtNanos.forAll(last -> atNanos - last > 0)) {
                        confirmedAtNanos = Option.some(atNanos);
                    }
                });
    }

    /** Returns the time since the last confirmation; none if there was none. */
    public Option<Duration> age() {
        long nowNanos = clock.nanoTime();
        return lock.withLock(() -> confirmedAtNanos)
                .map(atNanos -> Duration.ofNanos(Math.max(0, nowNanos - atNanos)));
    }
}
