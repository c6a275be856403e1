package org.tamarackfold.peer.disk;

import java.nio.file.Path;

/** A segment file and its size. Thread-safe; written by one thread. */
final class Segment {
    private final long number;
    private final Path file;
    private volatile long bytes;

    Segment(long number, Path file, long bytes) {
        this.number = number;
        this.file = file;
        this.bytes = bytes;
    }

    long number() {
        return number;
    }

    Path file() {
        return file;
    }

    long bytes() {
        return bytes;
    }

    void setBytes(long value) {
        bytes = value;
    }

    /** Called by the thread that writes the segment only. */
    void addBytes(long added) {
        setBytes(bytes + added);
    }
}
