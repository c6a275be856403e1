package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.ShardId;

/** The durable log of a storage host. */
public interface RecordLog {
    /** Tells whether records have waited so long that the disk must be taken as failing. */
    boolean isStalled();

    /** Appends records; the future completes when they survive a loss of power. */
    CompletableFuture<Void> append(ShardId shard, Seq<StoredRecord> records);
}
