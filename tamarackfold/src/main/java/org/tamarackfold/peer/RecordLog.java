package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.ShardId;

/** The append-only log on the disk of a storage host. */
public interface RecordLog {
    /** Returns whether a record has waited so long to be written that the disk counts as failed. */
    boolean isStalled();

    /** Returns the bytes that the log uses on the disk. */
    long usedBytes();

    /**
     * Returns the bytes that the log uses, without those that a running compaction has written to
     * replace others. New turns must not be rejected because of bytes that are freed at its end.
     */
    long usedBytesWithoutReplacements();

    /**
     * Appends records. The future completes when they are synced to disk, so that they survive a
     * loss of power; it never fails.
     */
    CompletableFuture<Void> append(ShardId shard, Seq<StoredRecord> records);
}
