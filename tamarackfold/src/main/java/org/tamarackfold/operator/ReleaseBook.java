package org.tamarackfold.operator;

import io.vavr.control.Option;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** The release in force on this host. Its version never goes back. */
public final class ReleaseBook {
    private final TableLock lock = new TableLock(LockRank.RELEASE);
    private Release current;

    /** Returns the release in force; none before the first one has been read. */
    public Option<Release> current() {
        return lock.locked(() -> Option.of(current));
    }

    /** Puts a release in force; returns false when the same or a later one already is. */
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
