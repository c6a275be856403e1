package org.tamarackfold.operator;

import io.vavr.control.Option;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** The release in force on this host. Its version never goes back. */
public final class ReleaseBook {
    private final TableLock lock = new TableLock(LockRank.RELEASE);
    private Release current;

    /** Outcome of an offer. */
    public sealed interface Adoption {
        /**
         * The offered release is now in force.
         *
         * @param previous what was in force before
         */
        record Adopted(Option<Release> previous) implements Adoption {}

        /**
         * A release of the same or a later version is in force.
         *
         * @param current what stays in force
         */
        record Ignored(Release current) implements Adoption {}
    }

    /** Returns the release in force; none before the first one has been read. */
    public Option<Release> current() {
        return lock.locked(() -> Option.of(current));
    }

    /** Puts a release in force unless a later one already is. */
    public Adoption offer(Release release) {
        return lock.locked(() -> adopt(release));
    }

    private Adoption adopt(Release release) {
        if (current != null && current.version().compareTo(release.version()) >= 0) {
            return new Adoption.Ignored(current);
        }
        Option<Release> previous = Option.of(current);
        current = release;
        return new Adoption.Adopted(previous);
    }
}
