package org.tamarackfold.peer.disk;

import io.vavr.collection.Vector;
import java.util.HashSet;
import java.util.Set;
import org.tamarackfold.peer.thrift.RecordCodec;

/**
 * The reservations in the segments that remain in a compaction. Their settlements in later segments
 * must remain, too, although both have expired: a restart would otherwise read a reservation that
 * is not settled and charge it to the budget of its program. Not thread-safe.
 */
final class KeptReservations {
    private final Set<LiveRecords.Key> keys = new HashSet<>();

    /** Adds the reservations of a segment that remains. */
    void add(SegmentContent content) {
        keys.addAll(content.reservations());
    }

    /** Returns the settlements in a later segment that are needed and not live. */
    Vector<RecordCodec.LoggedRecord> settlementsIn(SegmentContent content, LiveRecords live) {
        return Vector.ofAll(content.settlements())
                .filter(settlement -> keys.contains(LiveRecords.Key.of(settlement)))
                .reject(settlement -> live.contains(LiveRecords.Key.of(settlement)));
    }
}
