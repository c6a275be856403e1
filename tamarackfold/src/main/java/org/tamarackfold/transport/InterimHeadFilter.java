package org.tamarackfold.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Removes interim heads (RFC 9110, 15.2), which a server may send before the final head of a
 * response. Not thread-safe.
 */
final class InterimHeadFilter {
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_OFFSET = "HTTP/1.1 ".length();

    /** Bytes from which a final head and an interim one can be told apart. */
    private static final int DECISIVE_BYTES = STATUS_OFFSET + "100".length();

    private static final byte[] NONE = {};

    /** What the beginning of a head shows. */
    private enum HeadKind {
        INTERIM,
        FINAL,
        UNDECIDED
    }

    /** Also set while no response is expected: bytes that arrive then pass unchanged. */
    private boolean finalHeadReached = true;

    private boolean insideInterimHead;
    private boolean lineIsEmpty;
    private byte[] undecided = NONE;

    /** Expects the heads of the next response. */
    void startResponse() {
        finalHeadReached = false;
        insideInterimHead = false;
        undecided = NONE;
    }

    /** Returns whether all bytes pass: the final head has begun, or no response is expected. */
    boolean isFinalHeadReached() {
        return finalHeadReached;
    }

    /**
     * Returns the bytes that were held back because they decide nothing yet; they belong before the
     * next bytes given to {@link #removeInterimHeads}.
     */
    byte[] takeUndecided() {
        byte[] taken = undecided;
        undecided = NONE;
        return taken;
    }

    /** Holds back the bytes of a buffer from an offset to its position. */
    void holdBack(ByteBuffer buffer, int offset) {
        undecided = new byte[buffer.position() - offset];
        buffer.get(offset, undecided);
        buffer.position(offset);
    }

    /**
     * Removes interim heads from the bytes of a buffer between an offset and its position, and sets
     * the position to the end of what remains.
     */
    void removeInterimHeads(ByteBuffer buffer, int offset) {
        int end = buffer.position();
        int headStart = offset;
        while (headStart < end && !finalHeadReached) {
            if (insideInterimHead) {
                headStart = skipInterimHead(buffer, headStart, end);
                continue;
            }
            switch (kindOfHead(buffer, headStart, end)) {
                case INTERIM -> insideInterimHead = true;
                case FINAL -> finalHeadReached = true;
                case UNDECIDED -> {
                    holdBack(buffer, headStart);
                    headStart = end;
                }
            }
        }
        buffer.put(offset, buffer, headStart, end - headStart);
        buffer.position(offset + end - headStart);
    }

    /** Returns the offset after the empty line that ends the head, or the end of the bytes. */
    private int skipInterimHead(ByteBuffer buffer, int offset, int end) {
        for (int i = offset; i < end; i++) {
            byte next = buffer.get(i);
            if (next == '\n' && lineIsEmpty) {
                insideInterimHead = false;
                return i + 1;
            }
            lineIsEmpty = next == '\n' || (lineIsEmpty && next == '\r');
        }
        return end;
    }

    private static HeadKind kindOfHead(ByteBuffer buffer, int offset, int end) {
        int length = Math.min(end - offset, DECISIVE_BYTES);
        for (int i = 0; i < Math.min(length, VERSION.length); i++) {
            if (buffer.get(offset + i) != VERSION[i]) {
                return HeadKind.FINAL;
            }
        }
        if (length > STATUS_OFFSET && buffer.get(offset + STATUS_OFFSET) != '1') {
            return HeadKind.FINAL;
        }
        if (length < DECISIVE_BYTES) {
            return HeadKind.UNDECIDED;
        }
        return HeadKind.INTERIM;
    }
}
