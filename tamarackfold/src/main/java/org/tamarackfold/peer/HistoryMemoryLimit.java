package org.tamarackfold.peer;

/**
 * Decides whether a storage host has memory for the histories of new turns. Rejection begins and
 * ends at different shares of the heap, so that it does not change with every turn. Not
 * thread-safe; guarded by the lock of {@link ShardTable}.
 */
final class HistoryMemoryLimit {
    /**
     * Share of the heap, in percent, above which new turns are rejected. The rest is for the turns
     * that have been accepted, for messages and for the garbage collector.
     */
    private static final int REJECT_ABOVE_PERCENT = 45;

    /** Share of the heap, in percent, below which new turns are accepted again. */
    private static final int ACCEPT_BELOW_PERCENT = 40;

    private final long rejectAboveBytes;
    private final long acceptBelowBytes;
    private boolean rejecting;

    HistoryMemoryLimit(long heapBytes) {
        rejectAboveBytes = heapBytes / 100 * REJECT_ABOVE_PERCENT;
        acceptBelowBytes = heapBytes / 100 * ACCEPT_BELOW_PERCENT;
    }

    /** Notes the bytes of histories in memory; returns whether new turns are rejected. */
    boolean update(long heldBytes) {
        rejecting = rejecting ? heldBytes >= acceptBelowBytes : heldBytes > rejectAboveBytes;
        return rejecting;
    }
}
