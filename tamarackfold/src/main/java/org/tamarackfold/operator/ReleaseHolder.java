package org.tamarackfold.operator;

import io.vavr.control.Option;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** Holds the current release of this host; its version never decreases. Thread-safe. */
public final class ReleaseHolder {
    private final TableLock lock = new TableLock(LockRank.RELEASE);
    private WrittenRelease current;

    /** Returns the current release; none before the first release has been read. */
    public Option<Release> current() {
        return written().map(WrittenRelease::release);
    }

    /** Returns the current release with its bytes; none before the first one has been read. */
    public Option<WrittenRelease> written() {
        return lock.withLock(() -> Option.of(current));
    }

    /**
     * Replaces the current release unless its version is the same or higher.
     *
     * @return whether the release was adopted
     */
    public boolean adoptIfNewer(WrittenRelease release) {
        return lock.withLock(
                () -> {
                    if (current != null && current.version().compareTo(release.version()) >= 0) {
                        return false;
                    }
                    current = release;
                    return true;
                });
    }
}
