package org.tamarackfold.peer;

import io.vavr.control.Option;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** Holds the latest layout that this host has read; older revisions are ignored. Thread-safe. */
public final class LayoutHolder {
    /**
     * A layout with its revision.
     *
     * @param layout the layout
     * @param revision the revision of the key-value service at which the layout was written
     */
    public record VersionedLayout(Layout layout, long revision) {
        /**
         * Decodes the item of the key-value service that holds the layout.
         *
         * @throws IllegalArgumentException when the value is malformed
         */
        static VersionedLayout decode(KeyValueService.Item item, SharedStateCodec codec) {
            return new VersionedLayout(codec.decodeLayout(item.value()), item.revision());
        }
    }

    private final TableLock lock = new TableLock(LockRank.LAYOUT);
    private VersionedLayout current;

    /** Returns the latest layout, or none before the first one has been read. */
    public Option<VersionedLayout> current() {
        return lock.withLock(() -> Option.of(current));
    }

    /** Replaces the layout; returns false when the same or a later revision is already held. */
    public boolean adoptIfNewer(VersionedLayout versioned) {
        return lock.withLock(
                () -> {
                    if (current != null && current.revision() >= versioned.revision()) {
                        return false;
                    }
                    current = versioned;
                    return true;
                });
    }
}
