package org.tamarackfold.peer.disk;

import io.vavr.collection.Seq;
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
import java.util.stream.Stream;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.RecordLog;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.thrift.RecordCodec;

/**
 * Append-only log in segment files. One thread writes; records that arrive during a sync share the
 * next one. When enough has been appended, the live records are written to a new segment and the
 * older segments are removed.
 */
public final class SegmentLog implements RecordLog, AutoCloseable {
    private static final StructuredLog LOG = StructuredLog.of("disk");
    private static final String SEGMENT_PREFIX = "records-";
    private static final String STORE_FILE = "store-id";

    /** Pause before a failed write is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** Wait of a record from which the disk counts as stalled; a sync takes a few ms. */
    private static final long STALL_NANOS = 300_000_000;

    private record Pending(byte[] frames, CompletableFuture<Void> done) {}

    private final Path folder;
    private final StoreId storeId;
    private final long compactionBytes;
    private final BlockingQueue<Pending> queue = new LinkedBlockingQueue<>();
    private final Thread writer;
    private final List<Path> segments = new ArrayList<>();
    private Supplier<Seq<RecordCodec.Logged>> liveRecords;
    private FileChannel channel;
    private long nextSegment;
    private long appendedBytes;
    private final AtomicLong waitingSince = new AtomicLong();
    private volatile boolean closed;

    private SegmentLog(Path folder, StoreId storeId, long compactionBytes) {
        this.folder = folder;
        this.storeId = storeId;
        this.compactionBytes = compactionBytes;
        this.writer = new Thread(this::writeLoop, "record-log");
        this.writer.setDaemon(true);
    }

    /**
     * Opens the log and reads what it holds.
     *
     * @param folder the folder, created when absent
     * @param compactionBytes the bytes appended after which old segments are replaced
     * @param consumer receives each record
     * @throws IOException when the folder cannot be read or written
     */
    public static SegmentLog open(
            Path folder, long compactionBytes, Consumer<RecordCodec.Logged> consumer)
            throws IOException {
        Files.createDirectories(folder);
        SegmentLog log = new SegmentLog(folder, readOrCreateStoreId(folder), compactionBytes);
        log.replay(consumer);
        log.openSegment();
        return log;
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

    /** Returns the identity of the files. */
    public StoreId storeId() {
        return storeId;
    }

    /** Starts the writer; the supplier returns all live records for a compaction. */
    public void start(Supplier<Seq<RecordCodec.Logged>> records) {
        liveRecords = records;
        writer.start();
    }

    private void replay(Consumer<RecordCodec.Logged> consumer) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(file -> file.getFileName().toString().startsWith(SEGMENT_PREFIX))
                    .sorted()
                    .forEach(segments::add);
        }
        for (Path segment : segments) {
            long damaged =
                    SegmentFile.read(
                            segment, payload -> consumer.accept(RecordCodec.decode(payload)));
            if (damaged > 0) {
                LOG.event("segment_tail_ignored")
                        .with("segment", segment.getFileName())
                        .with("bytes", damaged)
                        .warn();
            }
            nextSegment = Math.max(nextSegment, number(segment) + 1);
        }
    }

    private static long number(Path segment) {
        return Long.parseLong(segment.getFileName().toString().substring(SEGMENT_PREFIX.length()));
    }

    private void openSegment() throws IOException {
        Path file = folder.resolve(SEGMENT_PREFIX + String.format("%012d", nextSegment++));
        channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        SegmentFile.syncFolder(folder);
        segments.add(file);
        appendedBytes = 0;
    }

    @Override
    public CompletableFuture<Void> append(ShardId shard, Seq<StoredRecord> records) {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (StoredRecord record : records) {
            frames.writeBytes(frame(new RecordCodec.Logged(shard, record)));
        }
        CompletableFuture<Void> done = new CompletableFuture<>();
        waitingSince.compareAndSet(0, System.nanoTime());
        queue.add(new Pending(frames.toByteArray(), done));
        return done;
    }

    private static byte[] frame(RecordCodec.Logged logged) {
        return SegmentFile.frame(RecordCodec.encode(logged));
    }

    @Override
    public boolean isStalled() {
        long since = waitingSince.get();
        return since != 0 && System.nanoTime() - since > STALL_NANOS;
    }

    private void writeLoop() {
        List<Pending> batch = new ArrayList<>();
        try {
            while (!closed) {
                batch.add(queue.take());
                queue.drainTo(batch);
                writeUntilDurable(batch);
                waitingSince.set(queue.isEmpty() ? 0 : System.nanoTime());
                batch.forEach(pending -> pending.done().complete(null));
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeUntilDurable(List<Pending> batch) throws InterruptedException {
        boolean failed = false;
        while (true) {
            try {
                if (failed) {
                    // The failed segment may end in a torn frame, so the batch goes to a new one.
                    openSegment();
                }
                write(batch);
                if (failed) {
                    LOG.event("disk_regained").info();
                }
                compactIfLarge();
                return;
            } catch (IOException e) {
                if (!failed) {
                    LOG.event("disk_lost").with("reason", e.getMessage()).warn();
                }
                failed = true;
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private void write(List<Pending> batch) throws IOException {
        for (Pending pending : batch) {
            SegmentFile.writeFully(channel, pending.frames());
            appendedBytes += pending.frames().length;
        }
        channel.force(false);
    }

    private void compactIfLarge() throws IOException {
        if (appendedBytes < compactionBytes) {
            return;
        }
        List<Path> old = new ArrayList<>(segments);
        channel.close();
        openSegment();
        for (RecordCodec.Logged logged : liveRecords.get()) {
            SegmentFile.writeFully(channel, frame(logged));
        }
        channel.force(false);
        for (Path segment : old) {
            Files.deleteIfExists(segment);
        }
        segments.removeAll(old);
        SegmentFile.syncFolder(folder);
        LOG.event("compacted").with("removed_segments", old.size()).info();
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
    }
}
