package org.tamarackfold.peer.disk;

import io.vavr.collection.HashSet;
import io.vavr.collection.Seq;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** The segment files of a log, in the order in which they were created. Thread-safe. */
final class SegmentFolder {
    private static final String SEGMENT_PREFIX = "records-";

    private final Path folder;
    private final SegmentOutput.Opener opener;
    private final ConcurrentNavigableMap<Long, Segment> segments = new ConcurrentSkipListMap<>();
    private final AtomicLong nextNumber = new AtomicLong();

    /** What the running compaction replaces; both parts are empty otherwise. */
    private volatile Replacement replacement = Replacement.NONE;

    /**
     * Segments that are being replaced by others.
     *
     * @param replaced the numbers of the segments that will be deleted
     * @param output the numbers of the segments that hold their live records
     */
    private record Replacement(Set<Long> replaced, Set<Long> output) {
        static final Replacement NONE = new Replacement(HashSet.empty(), HashSet.empty());

        Replacement withOutput(Segment segment) {
            return new Replacement(replaced, output.add(segment.number()));
        }
    }

    SegmentFolder(Path folder, SegmentOutput.Opener opener) {
        this.folder = folder;
        this.opener = opener;
    }

    /** Adds the segments of earlier runs; called once, before any segment is created. */
    void readExisting() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> existing =
                    files.filter(file -> file.getFileName().toString().startsWith(SEGMENT_PREFIX))
                            .toList();
            for (Path file : existing) {
                add(new Segment(number(file), file, Files.size(file)));
            }
        }
    }

    private static long number(Path file) {
        return Long.parseLong(file.getFileName().toString().substring(SEGMENT_PREFIX.length()));
    }

    private void add(Segment segment) {
        segments.put(segment.number(), segment);
        nextNumber.accumulateAndGet(segment.number() + 1, Math::max);
    }

    /** Returns the segments, the oldest first. */
    Vector<Segment> segments() {
        return Vector.ofAll(segments.values());
    }

    /** Returns the bytes of all segments. */
    long usedBytes() {
        return segments.values().stream().mapToLong(Segment::bytes).sum();
    }

    /**
     * Returns the bytes of all segments, without those that a running compaction has written to
     * replace others: a record counts once, although it is in two segments meanwhile.
     */
    long usedBytesWithoutReplacements() {
        Replacement current = replacement;
        long otherBytes = 0;
        long replacedBytes = 0;
        long outputBytes = 0;
        for (Segment segment : segments.values()) {
            if (current.replaced().contains(segment.number())) {
                replacedBytes += segment.bytes();
            } else if (current.output().contains(segment.number())) {
                outputBytes += segment.bytes();
            } else {
                otherBytes += segment.bytes();
            }
        }
        return otherBytes + Math.max(replacedBytes, outputBytes);
    }

    /** Begins to replace segments; one thread may do so at a time. */
    void beginReplacement(Seq<Segment> replaced) {
        replacement =
                new Replacement(HashSet.ofAll(replaced.map(Segment::number)), HashSet.empty());
    }

    /** Notes that the replaced segments are deleted, or that the replacement has failed. */
    void endReplacement() {
        replacement = Replacement.NONE;
    }

    /** Creates a segment for records of the segments that are being replaced. */
    SegmentWriter createReplacement() throws IOException {
        return create(segment -> replacement = replacement.withOutput(segment));
    }

    /** Creates a segment that survives a loss of power. */
    SegmentWriter create() throws IOException {
        return create(unused -> {});
    }

    private SegmentWriter create(Consumer<Segment> onCreated) throws IOException {
        long number = nextNumber.getAndIncrement();
        Path file = folder.resolve(SEGMENT_PREFIX + String.format("%012d", number));
        SegmentOutput output = opener.create(file);
        Segment segment = new Segment(number, file, 0);
        onCreated.accept(segment);
        add(segment);
        try {
            sync();
        } catch (IOException e) {
            output.close();
            delete(segment);
            throw e;
        }
        return new SegmentWriter(segment, output);
    }

    /** Deletes a segment; it may return after a loss of power unless {@link #sync} follows. */
    void delete(Segment segment) throws IOException {
        Files.deleteIfExists(segment.file());
        segments.remove(segment.number());
    }

    /** Makes the creation and deletion of segments survive a loss of power. */
    void sync() throws IOException {
        SegmentFile.syncFolder(folder);
    }
}
