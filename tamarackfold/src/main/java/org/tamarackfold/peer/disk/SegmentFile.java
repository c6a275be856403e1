package org.tamarackfold.peer.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/** A file of checksummed frames. A damaged frame ends the file, because it was never confirmed. */
final class SegmentFile {
    /** Length and checksum before each frame, in bytes. */
    private static final int HEADER_BYTES = 8;

    private SegmentFile() {}

    /** Returns the frame of a record. */
    static byte[] frame(byte[] payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(payload.length);
        buffer.putInt(checksum(payload));
        buffer.put(payload);
        return buffer.array();
    }

    private static int checksum(byte[] payload) {
        CRC32 crc = new CRC32();
        crc.update(payload);
        return (int) crc.getValue();
    }

    /**
     * Reads all whole frames.
     *
     * @return the number of bytes after the last whole frame
     */
    static long read(Path file, Consumer<byte[]> consumer) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        while (content.remaining() >= HEADER_BYTES) {
            content.mark();
            int length = content.getInt();
            int checksum = content.getInt();
            if (length < 0 || length > content.remaining()) {
                content.reset();
                break;
            }
            byte[] payload = new byte[length];
            content.get(payload);
            if (checksum(payload) != checksum) {
                content.reset();
                break;
            }
            consumer.accept(payload);
        }
        return content.remaining();
    }

    /** Writes all bytes; a channel may take fewer at a time. */
    static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /** Makes created and removed names of a folder durable. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
