package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Counts the bytes of histories that are held in memory: those of stored turns, and those of
 * expired turns that a stored one still shares. Not thread-safe.
 */
final class HeldHistories {
    private final Map<History, Integer> references = new IdentityHashMap<>();
    private long bytes;

    /** Counts a reference to a history; the first one counts its bytes and refers to its parent. */
    void retain(History history) {
        Option<History> current = Option.some(history);
        while (current.isDefined() && references.merge(current.get(), 1, Integer::sum) == 1) {
            bytes += current.get().ownLength();
            current = current.get().parent();
        }
    }

    /** Ends a reference to a history; the last one ends that to its parent as well. */
    void release(History history) {
        Option<History> current = Option.some(history);
        while (current.isDefined()
                && references.computeIfPresent(current.get(), HeldHistories::decrement) == null) {
            bytes -= current.get().ownLength();
            current = current.get().parent();
        }
    }

    /** Returns null at the last reference, which removes the entry. */
    private static Integer decrement(History unused, int count) {
        return count == 1 ? null : count - 1;
    }

    /** Returns the number of bytes of all histories that are referred to. */
    long bytes() {
        return bytes;
    }
}
