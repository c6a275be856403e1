package org.tamarackfold.transport;

import java.nio.ByteBuffer;

/**
 * Checks the framing of a chunked body (RFC 9112, 7.1) while its bytes arrive. Undertow's client
 * takes a size line without any digit for the last chunk, so that foreign bytes in the middle of a
 * body would end it as complete. Starts after the head of a response. Not thread-safe.
 */
final class ChunkFramingCheck {
    private enum State {
        HEAD,
        SIZE_START,
        SIZE,
        SIZE_LINE_END,
        DATA,
        DATA_END,
        /** Trailers and what follows; Undertow's client reads the trailers to their empty line. */
        LAST_CHUNK_SEEN,
        MALFORMED
    }

    /** Sizes above this are no sizes of chunks; keeps the sum of digits from overflowing. */
    private static final long MAXIMUM_CHUNK_BYTES = 1L << 40;

    private State state = State.LAST_CHUNK_SEEN;
    private boolean lineIsEmpty;
    private long chunkBytes;

    /** Expects the final head of the next response. */
    void startResponse() {
        state = State.HEAD;
        lineIsEmpty = false;
    }

    /** Returns whether the bytes after the head cannot be a chunked body. */
    boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Checks the bytes of a buffer between an offset and its position. */
    void check(ByteBuffer buffer, int offset) {
        int end = buffer.position();
        int next = offset;
        while (next < end && state != State.LAST_CHUNK_SEEN && state != State.MALFORMED) {
            if (state == State.DATA) {
                int skipped = (int) Math.min(chunkBytes, end - next);
                chunkBytes -= skipped;
                next += skipped;
                state = chunkBytes == 0 ? State.DATA_END : State.DATA;
                continue;
            }
            state = after(buffer.get(next++));
        }
    }

    /** Returns the state after one byte of the head or of the framing. */
    private State after(byte next) {
        return switch (state) {
            case HEAD -> afterHeadByte(next);
            case SIZE_START ->
                    Character.digit(next, 16) < 0 ? State.MALFORMED : afterDigit(next, 0);
            case SIZE ->
                    Character.digit(next, 16) < 0 ? afterSize(next) : afterDigit(next, chunkBytes);
            case SIZE_LINE_END -> next == '\n' ? afterSizeLine() : State.SIZE_LINE_END;
            case DATA_END ->
                    switch (next) {
                        case '\r' -> State.DATA_END;
                        case '\n' -> State.SIZE_START;
                        default -> State.MALFORMED;
                    };
            case DATA, LAST_CHUNK_SEEN, MALFORMED -> state;
        };
    }

    private State afterHeadByte(byte next) {
        if (next == '\n' && lineIsEmpty) {
            return State.SIZE_START;
        }
        lineIsEmpty = next == '\n' || (lineIsEmpty && next == '\r');
        return State.HEAD;
    }

    private State afterDigit(byte digit, long higherDigits) {
        chunkBytes = higherDigits * 16 + Character.digit(digit, 16);
        return chunkBytes > MAXIMUM_CHUNK_BYTES ? State.MALFORMED : State.SIZE;
    }

    /** A size ends with its line, or with white space or an extension. */
    private State afterSize(byte next) {
        return switch (next) {
            case '\n' -> afterSizeLine();
            case '\r', ' ', '\t', ';' -> State.SIZE_LINE_END;
            default -> State.MALFORMED;
        };
    }

    private State afterSizeLine() {
        return chunkBytes == 0 ? State.LAST_CHUNK_SEEN : State.DATA;
    }
}
