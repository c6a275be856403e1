package org.tamarackfold.peer;

/**
 * Decides whether a storage host has disk space for the histories of new turns. Rejection begins
 * and ends at different shares of the disk, so that it does not change with every turn. Not
 * thread-safe; guarded by the lock of {@link ShardTable}.
 */
final class DiskLimit {
    /**
     * Share of the disk, in percent, above which new turns are rejected. The rest is for the turns
     * that have been accepted, for records of other hosts, and for compactions.
     */
    private static final int REJECT_ABOVE_PERCENT = 70;

    /** Share of the disk, in percent, below which new turns are accepted again. */
    private static final int ACCEPT_BELOW_PERCENT = 60;

    private final long diskBytes;
    private long usedBytes;
    private boolean rejecting;

    /**
     * Creates a limit.
     *
     * @param diskBytes the size of the disk; 0 for no limit
     */
    DiskLimit(long diskBytes) {
        this.diskBytes = diskBytes;
    }

    /** Notes the bytes of the log on the disk; returns whether new turns are rejected. */
    boolean update(long bytes) {
        usedBytes = bytes;
        if (diskBytes > 0) {
            rejecting =
                    rejecting
                            ? usedBytes >= diskBytes / 100 * ACCEPT_BELOW_PERCENT
                            : usedBytes > diskBytes / 100 * REJECT_ABOVE_PERCENT;
        }
        return rejecting;
    }

    /** Returns whether new turns are rejected. */
    boolean isRejecting() {
        return rejecting;
    }
}
