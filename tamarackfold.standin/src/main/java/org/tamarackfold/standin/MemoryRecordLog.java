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

/** Log whose records become durable after a sync time and are lost before it. */
public final class MemoryRecordLog implements RecordLog {
    private record Entry(ShardId shard, StoredRecord record) {}

    private final Scheduler scheduler;
    private final Duration syncTime;
    private final List<Entry> durable = new ArrayList<>();
    private int life;
    private boolean stalled;
    private final List<Runnable> waiting = new ArrayList<>();

    /** Creates an empty log. */
    public MemoryRecordLog(Scheduler scheduler, Duration syncTime) {
        this.scheduler = scheduler;
        this.syncTime = syncTime;
    }

    @Override
    public CompletableFuture<Void> append(ShardId shard, Seq<StoredRecord> records) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        int writtenIn = life;
        Runnable sync =
                () -> {
                    if (life == writtenIn) {
                        records.forEach(record -> durable.add(new Entry(shard, record)));
                        done.complete(null);
                    }
                };
        if (stalled) {
            waiting.add(sync);
        } else {
            scheduler.after(syncTime, sync);
        }
        return done;
    }

    @Override
    public boolean isStalled() {
        return stalled && !waiting.isEmpty();
    }

    /** Starts or ends a time in which nothing becomes durable. */
    public void setStalled(boolean value) {
        stalled = value;
        if (!value) {
            waiting.forEach(sync -> scheduler.after(syncTime, sync));
            waiting.clear();
        }
    }

    /** Loses what is not durable, as a loss of power does. */
    public void loseUnsynced() {
        life++;
    }

    /** Passes on what is durable. */
    public void replay(BiConsumer<ShardId, StoredRecord> consumer) {
        durable.forEach(entry -> consumer.accept(entry.shard(), entry.record()));
    }
}
