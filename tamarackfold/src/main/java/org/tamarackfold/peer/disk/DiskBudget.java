package org.tamarackfold.peer.disk;

/** Decides what the log may write to a disk of a known size. Immutable. */
final class DiskBudget {
    /** Part of the disk that a compaction leaves free, in percent; the writer uses it meanwhile. */
    private static final int FREE_PERCENT = 5;

    /** Usage, in percent, from which on expired records are removed without waiting for appends. */
    private static final int PRESSURE_PERCENT = 60;

    /**
     * Part of the disk, in percent, that a compaction must free when no appended bytes require it.
     * It ends the rejection of new turns, which lasts for this part of the disk, too.
     */
    private static final int GAIN_PERCENT = 10;

    /**
     * Number of segments that a full disk holds. When not all live records fit beside the old
     * segments, one segment at a time must.
     */
    private static final int SEGMENTS_PER_DISK = 24;

    /**
     * Part of the disk, in percent, by which the removable bytes must change before a compaction
     * that freed nothing is repeated without appended bytes that require it. Such a pass encodes
     * all records to measure them, and may read all segments.
     */
    private static final int REPETITION_PERCENT = 2;

    private final long diskBytes;

    /**
     * Creates a budget.
     *
     * @param diskBytes the size of the disk; 0 when it is not known
     */
    DiskBudget(long diskBytes) {
        this.diskBytes = diskBytes;
    }

    /** Returns whether the size of the disk is known. */
    boolean isLimited() {
        return diskBytes > 0;
    }

    /** Returns the size from which on another segment is begun. */
    long segmentBytes() {
        return isLimited() ? diskBytes / SEGMENTS_PER_DISK : Long.MAX_VALUE;
    }

    /** Returns whether a compaction may add bytes to those that the log uses. */
    boolean fits(long usedBytes, long addedBytes) {
        return !isLimited() || usedBytes + addedBytes <= percent(100 - FREE_PERCENT);
    }

    /** Returns whether expired records are to be removed although few bytes have been appended. */
    boolean isUnderPressure(long usedBytes) {
        return isLimited() && usedBytes >= percent(PRESSURE_PERCENT);
    }

    /** Returns whether a compaction frees enough of the disk to be worth its writes. */
    boolean isWorthwhile(long usedBytes, long liveBytes) {
        return usedBytes - liveBytes >= percent(GAIN_PERCENT);
    }

    /**
     * Returns whether a compaction may free space after one that did not.
     *
     * @param removableBytes the bytes of the log that are not live
     * @param earlierRemovableBytes those at the compaction that freed nothing
     */
    boolean mayRepeat(long removableBytes, long earlierRemovableBytes) {
        return Math.abs(removableBytes - earlierRemovableBytes) >= percent(REPETITION_PERCENT);
    }

    private long percent(int percent) {
        return diskBytes / 100 * percent;
    }
}
