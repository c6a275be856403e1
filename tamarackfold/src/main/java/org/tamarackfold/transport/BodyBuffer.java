package org.tamarackfold.transport;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Accumulates a message body that arrives in parts, in memory that exceeds it by {@link
 * #MAXIMUM_BLOCK_BYTES} at most. Not thread-safe.
 */
public final class BodyBuffer {
    /** Size of the first block; most bodies fit. */
    private static final int FIRST_BLOCK_BYTES = 1_024;

    private static final int MAXIMUM_BLOCK_BYTES = 64 * 1024;
    private static final byte[] NONE = {};

    private final List<byte[]> fullBlocks = new ArrayList<>();
    private byte[] lastBlock = NONE;
    private int bytesInLastBlock;
    private int size;

    /** Appends a copy of the remaining bytes of the buffer. */
    public void append(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (bytesInLastBlock == lastBlock.length) {
                addBlock(bytes.remaining());
            }
            int count = Math.min(bytes.remaining(), lastBlock.length - bytesInLastBlock);
            bytes.get(lastBlock, bytesInLastBlock, count);
            bytesInLastBlock += count;
            size += count;
        }
    }

    /** Adds a block; its size grows with the body, and holds the next bytes if it may. */
    private void addBlock(int nextBytes) {
        if (bytesInLastBlock > 0) {
            fullBlocks.add(lastBlock);
        }
        int wanted = Math.max(Math.max(FIRST_BLOCK_BYTES, size), nextBytes);
        lastBlock = new byte[Math.min(wanted, MAXIMUM_BLOCK_BYTES)];
        bytesInLastBlock = 0;
    }

    /** Returns the number of bytes in the buffer. */
    public int size() {
        return size;
    }

    /** Returns the bytes and empties the buffer. */
    public byte[] drain() {
        byte[] bytes = toByteArray();
        fullBlocks.clear();
        lastBlock = NONE;
        bytesInLastBlock = 0;
        size = 0;
        return bytes;
    }

    /** Returns a copy of the bytes appended so far. */
    public byte[] toByteArray() {
        byte[] bytes = new byte[size];
        int offset = 0;
        for (byte[] block : fullBlocks) {
            System.arraycopy(block, 0, bytes, offset, block.length);
            offset += block.length;
        }
        System.arraycopy(lastBlock, 0, bytes, offset, bytesInLastBlock);
        return bytes;
    }
}
