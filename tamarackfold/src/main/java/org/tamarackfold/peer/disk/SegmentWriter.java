package org.tamarackfold.peer.disk;

import java.io.IOException;

/** Appends to a segment and counts its bytes. Not thread-safe. */
final class SegmentWriter {
    private final Segment segment;
    private final SegmentOutput output;
    private long syncedBytes;
    private boolean closed;

    SegmentWriter(Segment segment, SegmentOutput output) {
        this.segment = segment;
        this.output = output;
    }

    Segment segment() {
        return segment;
    }

    void write(byte[] frames) throws IOException {
        output.write(frames);
        segment.addBytes(frames.length);
    }

    void sync() throws IOException {
        output.sync();
        syncedBytes = segment.bytes();
    }

    /** Returns the bytes that have been written and not synced. */
    long unsyncedBytes() {
        return segment.bytes() - syncedBytes;
    }

    void close() throws IOException {
        closed = true;
        output.close();
    }

    /**
     * Closes the segment after a failed write, without the bytes that are not synced. On a full
     * disk, each retry would otherwise leave a part of its records there. Does nothing when the
     * segment is closed.
     */
    void closeAfterFailure() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        try (output) {
            output.truncate(syncedBytes);
            segment.setBytes(syncedBytes);
        }
    }

    /** Returns whether the segment holds no synced record. */
    boolean isEmpty() {
        return syncedBytes == 0;
    }
}
