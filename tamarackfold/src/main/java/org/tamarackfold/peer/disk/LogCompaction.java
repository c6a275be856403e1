package org.tamarackfold.peer.disk;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.thrift.RecordCodec;

/**
 * Replaces old segments by the live records. All of them are written beside the old segments if the
 * disk has room. Otherwise the segments are replaced one after the other, the oldest first. A
 * segment is deleted only when its live records are durable in another one, so that a crash at any
 * time loses nothing: the records of two segments may overlap.
 */
final class LogCompaction {
    private static final StructuredLog LOG = StructuredLog.of("disk");

    /** Bytes that are written at once; the syncs of the writer wait for the disk, too. */
    private static final long SYNC_BYTES = 2_000_000;

    /** Part of a segment, in percent, that its replacement may use at most. */
    private static final int MAXIMUM_REPLACEMENT_PERCENT = 90;

    private final SegmentFolder folder;
    private final DiskBudget budget;
    private final Supplier<Seq<RecordCodec.LoggedRecord>> durableRecords;

    /** Set while segments are replaced one after the other. */
    private volatile boolean replacingSingly;

    /**
     * Removable bytes, roughly, at the last compaction, if it freed nothing or was not worthwhile.
     */
    private Option<Long> removableWithoutEffect = Option.none();

    /** What failed last, for the log. */
    private String step = "";

    /**
     * Creates a compaction, which may run repeatedly, but once at a time.
     *
     * @param durableRecords returns the records that must be kept, including all of the segments
     *     that were closed before
     */
    LogCompaction(
            SegmentFolder folder,
            DiskBudget budget,
            Supplier<Seq<RecordCodec.LoggedRecord>> durableRecords) {
        this.folder = folder;
        this.budget = budget;
        this.durableRecords = durableRecords;
    }

    /**
     * Compacts segments to which nothing is written any more. After a failure they are kept until
     * the next compaction.
     *
     * @param onlyWhenWorthwhile whether to do nothing when this frees little of the disk, or when
     *     the last compaction freed nothing and little has changed since
     */
    void run(Vector<Segment> oldSegments, boolean onlyWhenWorthwhile) {
        try {
            Seq<RecordCodec.LoggedRecord> records = durableRecords.get();
            long oldBytes = bytes(oldSegments);
            long removableBytes = oldBytes - LiveRecords.roughBytes(records);
            if (onlyWhenWorthwhile
                    && !removableWithoutEffect.forAll(
                            earlier -> budget.mayRepeat(removableBytes, earlier))) {
                return;
            }
            long liveBytes = budget.isLimited() ? LiveRecords.bytes(records) : 0;
            if (onlyWhenWorthwhile && !budget.isWorthwhile(oldBytes, liveBytes)) {
                removableWithoutEffect = Option.some(removableBytes);
                return;
            }
            if (budget.fits(folder.usedBytes(), liveBytes)) {
                replaceAll(oldSegments, records);
                removableWithoutEffect = Option.none();
            } else {
                boolean freed = replaceSingly(oldSegments, new LiveRecords(records));
                removableWithoutEffect = Option.when(!freed, removableBytes);
            }
        } catch (IOException e) {
            LOG.event("compaction_failed").with("step", step).with("reason", e.getMessage()).warn();
        }
    }

    private static long bytes(Vector<Segment> segments) {
        return segments.map(Segment::bytes).sum().longValue();
    }

    /** Returns whether segments are being replaced one after the other, which takes longer. */
    boolean isReplacingSingly() {
        return replacingSingly;
    }

    private void replaceAll(Vector<Segment> oldSegments, Seq<RecordCodec.LoggedRecord> records)
            throws IOException {
        replace(oldSegments, records);
        LOG.event("compacted").with("removed_segments", oldSegments.size()).info();
    }

    /** Writes the records, and deletes the segments that hold them once they are durable. */
    private void replace(Vector<Segment> segments, Seq<RecordCodec.LoggedRecord> records)
            throws IOException {
        folder.beginReplacement(segments);
        try {
            write(records);
            for (Segment segment : segments) {
                delete(segment);
            }
            sync();
        } finally {
            folder.endReplacement();
        }
    }

    /** Returns whether any segment was deleted. */
    private boolean replaceSingly(Vector<Segment> oldSegments, LiveRecords live)
            throws IOException {
        replacingSingly = true;
        try {
            long oldBytes = bytes(oldSegments);
            Vector<Segment> withLiveRecords = deleteExpired(oldSegments, live);
            int replaced = 0;
            KeptReservations reservations = new KeptReservations();
            long remainingBytes = bytes(withLiveRecords);
            for (Segment segment : withLiveRecords) {
                if (replace(segment, live, reservations)) {
                    replaced++;
                }
            }
            LOG.event("compacted_singly")
                    .with("removed_segments", oldSegments.size() - withLiveRecords.size())
                    .with("removed_bytes", oldBytes - remainingBytes)
                    .with("replaced_segments", replaced)
                    .with("kept_segments", withLiveRecords.size() - replaced)
                    .with("used_bytes", folder.usedBytes())
                    .info();
            return withLiveRecords.size() - replaced < oldSegments.size();
        } finally {
            replacingSingly = false;
        }
    }

    /**
     * Deletes the segments without live records and without settlements of reservations in earlier
     * segments that remain. Returns the others.
     */
    private Vector<Segment> deleteExpired(Vector<Segment> oldSegments, LiveRecords live)
            throws IOException {
        List<Segment> others = new ArrayList<>();
        KeptReservations reservations = new KeptReservations();
        for (Segment segment : oldSegments) {
            SegmentContent content = read(segment);
            if (content.isWhole()
                    && live.withKeys(content.keys()).isEmpty()
                    && reservations.settlementsIn(content, live).isEmpty()) {
                delete(segment);
            } else {
                reservations.add(content);
                others.add(segment);
            }
        }
        sync();
        return Vector.ofAll(others);
    }

    /** Replaces a segment if this saves space and its live records fit; returns whether it did. */
    private boolean replace(Segment segment, LiveRecords live, KeptReservations reservations)
            throws IOException {
        SegmentContent content = read(segment);
        Vector<RecordCodec.LoggedRecord> kept =
                live.withKeys(content.keys()).appendAll(reservations.settlementsIn(content, live));
        long keptBytes = LiveRecords.bytes(kept);
        if (!content.isWhole()) {
            reservations.add(content);
            return false;
        }
        if (keptBytes * 100 > segment.bytes() * MAXIMUM_REPLACEMENT_PERCENT
                || !budget.fits(folder.usedBytes(), keptBytes)) {
            reservations.add(content);
            keep(segment, live);
            return false;
        }
        replace(Vector.of(segment), kept);
        live.removeWritten(kept);
        return true;
    }

    /**
     * Removes the records of a segment that remains from those to be written. Otherwise segments
     * with copies of the same records would all remain.
     */
    private void keep(Segment segment, LiveRecords live) throws IOException {
        step = "sync";
        SegmentFile.syncFile(segment.file());
        step = "read";
        SegmentContent.readRecords(segment, live::removeStored);
    }

    private SegmentContent read(Segment segment) throws IOException {
        step = "read";
        return SegmentContent.read(segment);
    }

    /** Writes records to new segments. Leaves none after a failure, likely to be a full disk. */
    private void write(Seq<RecordCodec.LoggedRecord> records) throws IOException {
        List<Segment> written = new ArrayList<>();
        try {
            writeTo(written, records);
        } catch (IOException e) {
            for (Segment segment : written) {
                folder.delete(segment);
            }
            throw e;
        }
    }

    private void writeTo(List<Segment> written, Seq<RecordCodec.LoggedRecord> records)
            throws IOException {
        Vector<RecordCodec.LoggedRecord> remaining = records.toVector();
        while (!remaining.isEmpty()) {
            step = "create";
            SegmentWriter writer = folder.createReplacement();
            written.add(writer.segment());
            try {
                remaining = remaining.drop(writeSegment(writer, remaining));
            } finally {
                writer.close();
            }
        }
    }

    /** Writes records until the segment is large enough; returns their number. */
    private int writeSegment(SegmentWriter writer, Vector<RecordCodec.LoggedRecord> records)
            throws IOException {
        int count = 0;
        for (RecordCodec.LoggedRecord logged : records) {
            step = "write";
            writer.write(SegmentFile.frame(RecordCodec.encode(logged)));
            count++;
            if (writer.unsyncedBytes() >= SYNC_BYTES) {
                sync(writer);
            }
            if (writer.segment().bytes() >= budget.segmentBytes()) {
                break;
            }
        }
        sync(writer);
        return count;
    }

    /** Ends the compaction when the writer has used the space that was free at its beginning. */
    private void sync(SegmentWriter writer) throws IOException {
        step = "sync";
        writer.sync();
        if (!budget.fits(folder.usedBytes(), 0)) {
            throw new IOException("The disk is nearly full");
        }
    }

    private void delete(Segment segment) throws IOException {
        step = "delete";
        folder.delete(segment);
    }

    private void sync() throws IOException {
        step = "sync";
        folder.sync();
    }
}
