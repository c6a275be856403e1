package org.tamarackfold.peer.disk;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * Reads and writes segment files. Each payload is stored in a frame with its length and its CRC-32
 * checksum. Reading stops at the first damaged frame, which a crash leaves when it interrupts a
 * write before the sync; its record was never confirmed.
 */
final class SegmentFile {
    /** Size of the frame header: the payload length and the checksum, 4 bytes each. */
    private static final int HEADER_BYTES = 8;

    private static final int BUFFER_BYTES = 64 * 1024;

    private SegmentFile() {}

    /** Returns the payload with its frame header in front. */
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
     * Reads all frames up to the first damaged or incomplete one. Holds one frame in memory at a
     * time: a segment may be larger than the free heap of a host that restarts.
     *
     * @param onPayload receives the payload of each frame, in the order of the file
     * @return the number of ignored bytes after the last valid frame; 0 when the file is intact
     */
    static long read(Path file, Consumer<byte[]> onPayload) throws IOException {
        long remaining = Files.size(file);
        try (DataInputStream content =
                new DataInputStream(
                        new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES))) {
            while (remaining >= HEADER_BYTES) {
                int length = content.readInt();
                int checksum = content.readInt();
                // Zero bytes after the end would pass as an empty frame: their checksum is 0, too.
                if (length <= 0 || length > remaining - HEADER_BYTES) {
                    break;
                }
                byte[] payload = content.readNBytes(length);
                if (checksum(payload) != checksum) {
                    break;
                }
                onPayload.accept(payload);
                remaining -= HEADER_BYTES + length;
            }
        }
        return remaining;
    }

    /** Writes all bytes, as a single write to the channel may be partial. */
    static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /** Syncs a file that was read; an earlier run may have ended before it did. */
    static void syncFile(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    /** Syncs a folder, so that the creation and deletion of its files survive a loss of power. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
