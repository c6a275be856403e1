package org.tamarackfold.peer.disk;

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
     * Reads all frames up to the first damaged or incomplete one.
     *
     * @param onPayload receives the payload of each frame, in the order of the file
     * @return the number of ignored bytes after the last valid frame; 0 when the file is intact
     */
    static long read(Path file, Consumer<byte[]> onPayload) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        while (content.remaining() >= HEADER_BYTES) {
            content.mark();
            int length = content.getInt();
            int checksum = content.getInt();
            // Zero bytes after the end would pass as an empty frame: their checksum is 0, too.
            if (length <= 0 || length > content.remaining()) {
                content.reset();
                break;
            }
            byte[] payload = new byte[length];
            content.get(payload);
            if (checksum(payload) != checksum) {
                content.reset();
                break;
            }
            onPayload.accept(payload);
        }
        return content.remaining();
    }

    /** Writes all bytes, as a single write to the channel may be partial. */
    static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /** Syncs a folder, so that the creation and deletion of its files survive a loss of power. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
