package org.tamarackfold.standin;

import io.vavr.collection.Seq;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.peer.RecordLog;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.time.Scheduler;

/**
 * In-memory record log. Records become durable after a simulated sync; a simulated loss of power
 * drops those that are not durable yet.
 */
public final class MemoryRecordLog implements RecordLog {
    private record LoggedRecord(ShardId shard, StoredRecord record) {}

    private final Scheduler scheduler;
    private final Duration syncDelay;
    private final List<LoggedRecord> durable = new ArrayList<>();
    private int powerLossCount;
    private boolean stalled;
    private long usedBytes;
    private long replacementBytes;
    private final List<Runnable> stalledSyncs = new ArrayList<>();

    /**
     * Creates an empty log.
     *
     * @param syncDelay the time from an append until its records are durable
     */
    public MemoryRecordLog(Scheduler scheduler, Duration syncDelay) {
        this.scheduler = scheduler;
        this.syncDelay = syncDelay;
    }

    @Override
    public CompletableFuture<Void> append(ShardId shard, Seq<StoredRecord> records) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        int powerLossCountAtAppend = powerLossCount;
        Runnable sync =
                () -> {
                    if (powerLossCount == powerLossCountAtAppend) {
                        records.forEach(record -> durable.add(new LoggedRecord(shard, record)));
                        done.complete(null);
                    }
                };
        if (stalled) {
            stalledSyncs.add(sync);
        } else {
            scheduler.after(syncDelay, sync);
        }
        return done;
    }

    /** Sets the bytes that the log uses on the disk; the simulation does not compute them. */
    public void setUsedBytes(long value) {
        usedBytes = value;
    }

    /** Sets the part of the used bytes that a running compaction has written. */
    public void setReplacementBytes(long value) {
        replacementBytes = value;
    }

    @Override
    public long usedBytes() {
        return usedBytes;
    }

    @Override
    public long usedBytesWithoutReplacements() {
        return usedBytes - replacementBytes;
    }

    @Override
    public boolean isStalled() {
        return stalled && !stalledSyncs.isEmpty();
    }

    /** Starts or ends a stall of the disk; records appended in it become durable after its end. */
    public void setStalled(boolean value) {
        stalled = value;
        if (!value) {
            stalledSyncs.forEach(sync -> scheduler.after(syncDelay, sync));
            stalledSyncs.clear();
        }
    }

    /** Simulates a loss of power: drops the records that are not durable yet. */
    public void loseUnsyncedRecords() {
        powerLossCount++;
    }

    /** Passes all durable records to the consumer, in the order in which they became durable. */
    public void replay(BiConsumer<ShardId, StoredRecord> consumer) {
        durable.forEach(logged -> consumer.accept(logged.shard(), logged.record()));
    }
}
