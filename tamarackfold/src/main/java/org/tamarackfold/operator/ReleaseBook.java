package org.tamarackfold.operator;

import io.vavr.control.Option;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** Holds the release in force on this host; its version never decreases. Thread-safe. */
public final class ReleaseBook {
    private final TableLock lock = new TableLock(LockRank.RELEASE);
    private Release current;

    /** Returns the release in force; none before the first release has been read. */
    public Option<Release> current() {
        return lock.locked(() -> Option.of(current));
    }

    /**
     * Puts a release in force unless its version is the same or lower than that in force.
     *
     * @return whether the release was adopted
     */
    public boolean offer(Release release) {
        return lock.locked(
                () -> {
                    if (current != null && current.version().compareTo(release.version()) >= 0) {
                        return false;
                    }
                    current = release;
                    return true;
                });
    }
}
