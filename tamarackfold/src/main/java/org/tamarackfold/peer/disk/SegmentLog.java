package org.tamarackfold.peer.disk;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.RecordLog;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.thrift.RecordCodec;

/**
 * Append-only log in segment files. A single thread writes; records that arrive during a sync are
 * written as one batch and share the next sync. After a configured number of appended bytes, also
 * by earlier runs, a {@link LogCompaction} writes the durable records to new segments and deletes
 * the older segments. It runs on a thread of its own beside the writer: the whole histories of a
 * host take longer to write than the other hosts wait for a confirmation.
 */
public final class SegmentLog implements RecordLog, AutoCloseable {
    private static final StructuredLog LOG = StructuredLog.of("disk");
    private static final String STORE_FILE = "store-id";

    /** Delay before a failed write is retried. */
    private static final long RETRY_DELAY_MILLIS = 100;

    /**
     * Time for which records must have been waiting for a sync before the disk is reported as
     * stalled; a sync normally takes a few ms.
     */
    private static final long STALL_TIMEOUT_NANOS = 300_000_000;

    /** Time for which a close waits for a compaction, which would otherwise be repeated. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** Records that have been queued and are not durable yet. */
    private record PendingAppend(byte[] frames, CompletableFuture<Void> done) {}

    private final SegmentFolder folder;
    private final StoreId storeId;
    private final long compactionBytes;
    private final DiskBudget budget;
    private final BlockingQueue<PendingAppend> queue = new LinkedBlockingQueue<>();
    private final Thread writer;
    private LogCompaction compaction;
    private SegmentWriter segment;

    /** What the writer does, for the log. */
    private String step = "";

    /** Runs the last compaction; used by the writer, and by {@link #close} once that has ended. */
    private Thread compactionThread = new Thread(() -> {});

    /** Bytes appended since the last compaction began; after a start, those of all segments. */
    private long appendedBytes;

    /**
     * Monotonic time since which records have been waiting for a sync; 0 when none are. After a
     * sync, the time of that sync when further records are queued.
     */
    private final AtomicLong waitingSinceNanos = new AtomicLong();

    /** Set when records have expired, so that a compaction may free space without appends. */
    private volatile boolean recordsExpired;

    private volatile boolean closed;

    private SegmentLog(
            SegmentFolder folder, StoreId storeId, long compactionBytes, DiskBudget budget) {
        this.folder = folder;
        this.storeId = storeId;
        this.compactionBytes = compactionBytes;
        this.budget = budget;
        this.writer = new Thread(this::writeLoop, "record-log");
        this.writer.setDaemon(true);
    }

    /**
     * Opens a log on a disk of unknown size. Appended records stay queued until {@link #start}.
     *
     * @param folder the folder of the segment files, created when absent
     * @param compactionBytes the number of appended bytes after which the log is compacted
     * @throws IOException when the folder cannot be read or written
     */
    public static SegmentLog open(Path folder, long compactionBytes) throws IOException {
        return open(folder, compactionBytes, 0);
    }

    /**
     * Opens a log. Appended records stay queued until {@link #start}.
     *
     * @param folder the folder of the segment files, created when absent
     * @param compactionBytes the number of appended bytes after which the log is compacted
     * @param diskBytes the size of the disk; 0 when it is not known
     * @throws IOException when the folder cannot be read or written
     */
    public static SegmentLog open(Path folder, long compactionBytes, long diskBytes)
            throws IOException {
        return open(folder, compactionBytes, diskBytes, SegmentOutput::create);
    }

    static SegmentLog open(
            Path folder, long compactionBytes, long diskBytes, SegmentOutput.Opener opener)
            throws IOException {
        Files.createDirectories(folder);
        return new SegmentLog(
                new SegmentFolder(folder, opener),
                readOrCreateStoreId(folder),
                compactionBytes,
                new DiskBudget(diskBytes));
    }

    /**
     * Replays the records of earlier runs. Must be called once, before {@link #start}.
     *
     * @param onRecord receives each stored record, in log order, before this method returns
     * @return the number of records
     * @throws IOException when the folder cannot be read or written
     */
    public long replay(Consumer<RecordCodec.LoggedRecord> onRecord) throws IOException {
        AtomicLong records = new AtomicLong();
        replaySegments(
                record -> {
                    records.incrementAndGet();
                    onRecord.accept(record);
                });
        segment = folder.create();
        return records.get();
    }

    private static StoreId readOrCreateStoreId(Path folder) throws IOException {
        Path file = folder.resolve(STORE_FILE);
        if (Files.exists(file)) {
            String text = Files.readString(file).trim();
            if (text.length() == UUID.randomUUID().toString().length()) {
                return new StoreId(text);
            }
            LOG.event("store_id_damaged").with("length", text.length()).warn();
        }
        StoreId created = new StoreId(UUID.randomUUID().toString());
        writeDurably(file, created.value().getBytes(StandardCharsets.US_ASCII));
        SegmentFile.syncFolder(folder);
        return created;
    }

    private static void writeDurably(Path file, byte[] content) throws IOException {
        try (FileChannel out =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            SegmentFile.writeFully(out, content);
            out.force(true);
        }
    }

    /**
     * Returns the id of this store. It is created when the folder has no valid store id file, and
     * kept across restarts.
     */
    public StoreId storeId() {
        return storeId;
    }

    /**
     * Starts the writer thread. Must be called exactly once, after {@link #replay}.
     *
     * @param recordSupplier returns the records that a compaction must keep, including those whose
     *     append has not completed yet; called on the thread of the compaction
     */
    public void start(Supplier<Seq<RecordCodec.LoggedRecord>> recordSupplier) {
        compaction = new LogCompaction(folder, budget, recordSupplier);
        writer.start();
    }

    private void replaySegments(Consumer<RecordCodec.LoggedRecord> onRecord) throws IOException {
        folder.readExisting();
        for (Segment existing : folder.segments()) {
            Path file = existing.file();
            long ignoredBytes =
                    SegmentFile.read(file, payload -> replayRecord(file, payload, onRecord));
            if (ignoredBytes > 0) {
                LOG.event("segment_tail_ignored")
                        .with("segment", file.getFileName())
                        .with("bytes", ignoredBytes)
                        .warn();
            }
        }
        appendedBytes = folder.usedBytes();
    }

    /** Skips a record of a kind that this version does not know; other members hold it, too. */
    private static void replayRecord(
            Path segment, byte[] payload, Consumer<RecordCodec.LoggedRecord> onRecord) {
        RecordCodec.LoggedRecord logged;
        try {
            logged = RecordCodec.decode(payload);
        } catch (IllegalArgumentException e) {
            LOG.event("record_malformed")
                    .with("segment", segment.getFileName())
                    .with("bytes", payload.length)
                    .with("reason", e.getMessage())
                    .warn();
            return;
        }
        onRecord.accept(logged);
    }

    @Override
    public CompletableFuture<Void> append(ShardId shard, Seq<StoredRecord> records) {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (StoredRecord record : records) {
            frames.writeBytes(frame(new RecordCodec.LoggedRecord(shard, record)));
        }
        CompletableFuture<Void> done = new CompletableFuture<>();
        waitingSinceNanos.compareAndSet(0, System.nanoTime());
        queue.add(new PendingAppend(frames.toByteArray(), done));
        return done;
    }

    private static byte[] frame(RecordCodec.LoggedRecord logged) {
        return SegmentFile.frame(RecordCodec.encode(logged));
    }

    @Override
    public long usedBytes() {
        return folder.usedBytes();
    }

    @Override
    public long usedBytesWithoutReplacements() {
        return folder.usedBytesWithoutReplacements();
    }

    /**
     * Notes that records have expired. When the disk is short, they are removed from it although
     * nothing is appended: a host that rejects new turns may receive no records.
     */
    public void onRecordsExpired() {
        if (budget.isUnderPressure(folder.usedBytes())) {
            recordsExpired = true;
            queue.add(new PendingAppend(new byte[0], new CompletableFuture<>()));
        }
    }

    @Override
    public boolean isStalled() {
        long sinceNanos = waitingSinceNanos.get();
        return sinceNanos != 0 && System.nanoTime() - sinceNanos > STALL_TIMEOUT_NANOS;
    }

    private void writeLoop() {
        List<PendingAppend> batch = new ArrayList<>();
        try {
            while (!closed) {
                batch.add(queue.take());
                queue.drainTo(batch);
                writeUntilDurable(batch);
                waitingSinceNanos.set(queue.isEmpty() ? 0 : System.nanoTime());
                batch.forEach(pending -> pending.done().complete(null));
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeUntilDurable(List<PendingAppend> batch) throws InterruptedException {
        boolean failed = false;
        while (true) {
            try {
                if (failed) {
                    // The failed write may have left a torn frame, so a new segment is opened.
                    step = "create";
                    segment = folder.create();
                }
                write(batch);
                if (failed) {
                    LOG.event("disk_regained").info();
                }
                beginCompactionOrSegment();
                return;
            } catch (IOException e) {
                if (!failed) {
                    LOG.event("disk_lost")
                            .with("step", step)
                            .with("reason", e.getMessage())
                            .with("used_bytes", folder.usedBytes())
                            .warn();
                }
                discardFailedWrite();
                failed = true;
                compactIfExpired();
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        }
    }

    /** Leaves what could not be discarded to the next compaction; a start ignores it. */
    private void discardFailedWrite() {
        try {
            segment.closeAfterFailure();
            if (segment.isEmpty()) {
                folder.delete(segment.segment());
            }
        } catch (IOException e) {
            LOG.event("write_not_discarded").with("reason", e.getMessage()).info();
        }
    }

    private void write(List<PendingAppend> batch) throws IOException {
        step = "write";
        for (PendingAppend pending : batch) {
            segment.write(pending.frames());
            appendedBytes += pending.frames().length;
        }
        step = "sync";
        segment.sync();
    }

    /** Goes on with the current segment after a failure; the appended records are durable in it. */
    private void beginCompactionOrSegment() throws InterruptedException {
        try {
            compactIfDue();
            if (segment.segment().bytes() >= budget.segmentBytes()) {
                beginSegment();
            }
        } catch (IOException e) {
            LOG.event("compaction_failed")
                    .with("step", "create")
                    .with("reason", e.getMessage())
                    .warn();
        }
        compactIfExpired();
    }

    /**
     * Begins a compaction when it is due. Waits for the one before only when as many bytes again
     * have been appended meanwhile, so that the log stays bounded, and never for one that replaces
     * single segments.
     */
    private void compactIfDue() throws IOException, InterruptedException {
        if (appendedBytes < compactionBytes
                || compactionThread.isAlive()
                        && (appendedBytes < 2 * compactionBytes
                                || compaction.isReplacingSingly())) {
            return;
        }
        compactionThread.join();
        beginSegment();
        appendedBytes = 0;
        startCompaction(false);
    }

    private void beginSegment() throws IOException {
        SegmentWriter previous = segment;
        segment = folder.create();
        previous.close();
    }

    /** A full disk is compacted, too: nothing else may free its space. */
    private void compactIfExpired() {
        if (recordsExpired && !compactionThread.isAlive()) {
            recordsExpired = false;
            startCompaction(true);
        }
    }

    private void startCompaction(boolean onlyWhenWorthwhile) {
        Segment current = segment.segment();
        Vector<Segment> oldSegments = folder.segments().reject(old -> old == current);
        compactionThread =
                new Thread(
                        () -> compaction.run(oldSegments, onlyWhenWorthwhile),
                        "record-log-compaction");
        compactionThread.setDaemon(true);
        compactionThread.start();
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
            compactionThread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
