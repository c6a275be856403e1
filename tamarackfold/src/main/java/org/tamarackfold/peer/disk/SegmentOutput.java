package org.tamarackfold.peer.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A segment file that is being written. Not thread-safe. */
interface SegmentOutput extends Closeable {
    /** Creates segment files. */
    interface Opener {
        /**
         * Creates a file.
         *
         * @throws IOException when the file exists or cannot be created
         */
        SegmentOutput create(Path file) throws IOException;
    }

    /** Appends all bytes; after a failure, some of them may have been written. */
    void write(byte[] bytes) throws IOException;

    /** Returns when all bytes that were written before are on the disk. */
    void sync() throws IOException;

    /** Removes all bytes after the given length. */
    void truncate(long length) throws IOException;

    /** Creates a file in the file system. */
    static SegmentOutput create(Path file) throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        return new SegmentOutput() {
            @Override
            public void write(byte[] bytes) throws IOException {
                SegmentFile.writeFully(channel, bytes);
            }

            @Override
            public void sync() throws IOException {
                channel.force(false);
            }

            @Override
            public void truncate(long length) throws IOException {
                channel.truncate(length);
                channel.force(true);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }
}
