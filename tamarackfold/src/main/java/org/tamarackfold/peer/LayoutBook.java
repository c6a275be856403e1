package org.tamarackfold.peer;

import io.vavr.control.Option;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** The latest layout that this host has read. Its revision never goes back. */
public final class LayoutBook {
    /**
     * A layout as stored.
     *
     * @param layout the layout
     * @param revision the revision of the key-value service under which it was written
     */
    public record Stored(Layout layout, long revision) {
        /**
         * Decodes the item that holds the layout.
         *
         * @throws IllegalArgumentException when it is malformed
         */
        static Stored decode(KeyValueService.Item item, SharedStateCodec codec) {
            return new Stored(codec.decodeLayout(item.value()), item.revision());
        }
    }

    private final TableLock lock = new TableLock(LockRank.LAYOUT);
    private Stored current;

    /** Returns the latest layout; none before the first one has been read. */
    public Option<Stored> current() {
        return lock.locked(() -> Option.of(current));
    }

    /** Takes over a layout; returns false when a later one is known. */
    public boolean offer(Stored stored) {
        return lock.locked(
                () -> {
                    if (current != null && current.revision() >= stored.revision()) {
                        return false;
                    }
                    current = stored;
                    return true;
                });
    }
}
