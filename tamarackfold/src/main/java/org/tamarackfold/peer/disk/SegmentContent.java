package org.tamarackfold.peer.disk;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.thrift.RecordCodec;

/**
 * What a compaction must know of the records of a segment; without their histories.
 *
 * @param keys the keys of all records
 * @param reservations the keys of the charges that are not settled
 * @param settlements the settled charges
 * @param isWhole whether all bytes could be read; records after a damaged frame may be live, so
 *     that only a compaction of all segments may replace the segment
 */
record SegmentContent(
        Collection<LiveRecords.Key> keys,
        Collection<LiveRecords.Key> reservations,
        Collection<RecordCodec.LoggedRecord> settlements,
        boolean isWhole) {
    private static final StructuredLog LOG = StructuredLog.of("disk");

    /** Reads a segment. */
    static SegmentContent read(Segment segment) throws IOException {
        Set<LiveRecords.Key> keys = new LinkedHashSet<>();
        Set<LiveRecords.Key> reservations = new HashSet<>();
        List<RecordCodec.LoggedRecord> settlements = new ArrayList<>();
        long ignoredBytes =
                readRecords(
                        segment,
                        logged -> {
                            LiveRecords.Key key = LiveRecords.Key.of(logged);
                            keys.add(key);
                            if (logged.record() instanceof StoredRecord.Charge charge) {
                                if (charge.settled()) {
                                    settlements.add(logged);
                                } else {
                                    reservations.add(key);
                                }
                            }
                        });
        return new SegmentContent(keys, reservations, settlements, ignoredBytes == 0);
    }

    /**
     * Reads the records of a segment one by one. Skips a record of a kind that this version does
     * not know, as at a start.
     *
     * @return the number of ignored bytes after the last valid record
     */
    static long readRecords(Segment segment, Consumer<RecordCodec.LoggedRecord> onRecord)
            throws IOException {
        return SegmentFile.read(
                segment.file(),
                payload -> {
                    RecordCodec.LoggedRecord logged;
                    try {
                        logged = RecordCodec.decode(payload);
                    } catch (IllegalArgumentException e) {
                        LOG.event("record_malformed")
                                .with("bytes", payload.length)
                                .with("reason", e.getMessage())
                                .warn();
                        return;
                    }
                    onRecord.accept(logged);
                });
    }
}
