package org.tamarackfold.transport;

import java.nio.ByteBuffer;

/**
 * Checks the framing of a chunked body and its trailers (RFC 9112, 7.1) while its bytes arrive.
 * Undertow takes a size line without any digit for the last chunk, so that foreign bytes in the
 * middle of a body would end it as complete. Not thread-safe.
 */
final class ChunkFramingCheck {
    private enum State {
        SIZE_START,
        SIZE,
        EXTENSIONS,
        SIZE_LINE_END,
        DATA,
        DATA_END,
        DATA_LINE_END,
        TRAILERS,
        COMPLETE
    }

    /** Sizes above this are no sizes of chunks; keeps the sum of digits from overflowing. */
    private static final long MAXIMUM_CHUNK_BYTES = 1L << 40;

    /** Largest number of bytes in a row that are no data: a size with extensions, or trailers. */
    private static final int MAXIMUM_FRAMING_BYTES = 64 * 1024;

    private final ChunkExtensionCheck extensions = new ChunkExtensionCheck();
    private final FieldSectionCheck trailers = new FieldSectionCheck();

    /** Also set while no chunked body is expected. */
    private State state = State.COMPLETE;

    private long chunkBytes;
    private int framingBytes;

    /** Expects a chunked body. */
    void startBody() {
        state = State.SIZE_START;
        framingBytes = 0;
    }

    /** Expects no chunked body; all bytes pass. */
    void expectNothing() {
        state = State.COMPLETE;
    }

    /** Returns whether the body is complete, or none is expected. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /**
     * Checks the bytes of a buffer from an offset to its position.
     *
     * @return the offset of the first byte after the body; the position if there is none
     * @throws MalformedMessageException when they cannot be part of a chunked body
     */
    int check(ByteBuffer buffer, int offset) throws MalformedMessageException {
        int next = offset;
        while (next < buffer.position() && state != State.COMPLETE) {
            if (state == State.DATA) {
                int skipped = (int) Math.min(chunkBytes, buffer.position() - next);
                chunkBytes -= skipped;
                next += skipped;
                state = chunkBytes == 0 ? State.DATA_END : State.DATA;
                framingBytes = 0;
                continue;
            }
            checkLimit();
            state = after(Byte.toUnsignedInt(buffer.get(next++)));
        }
        return next;
    }

    private void checkLimit() throws MalformedMessageException {
        framingBytes++;
        if (framingBytes > MAXIMUM_FRAMING_BYTES) {
            throw new MalformedMessageException("extensions or trailers of more than 64 KiB");
        }
    }

    /** Returns the state after one byte of the framing. */
    private State after(int next) throws MalformedMessageException {
        return switch (state) {
            case SIZE_START -> firstOfSize(next);
            case SIZE -> inSize(next);
            case EXTENSIONS -> inExtensions(next);
            case SIZE_LINE_END -> afterSizeLine(next);
            case DATA_END -> expect('\r', next, State.DATA_LINE_END);
            case DATA_LINE_END -> expect('\n', next, State.SIZE_START);
            case TRAILERS -> inTrailers(next);
            case DATA, COMPLETE -> state;
        };
    }

    private static State expect(int expected, int next, State following)
            throws MalformedMessageException {
        if (next != expected) {
            throw new MalformedMessageException("the body is not framed in chunks");
        }
        return following;
    }

    private State firstOfSize(int next) throws MalformedMessageException {
        chunkBytes = 0;
        if (Character.digit(next, 16) < 0) {
            throw new MalformedMessageException("no size of a chunk");
        }
        return inSize(next);
    }

    private State inSize(int next) throws MalformedMessageException {
        int digit = Character.digit(next, 16);
        if (digit >= 0) {
            chunkBytes = chunkBytes * 16 + digit;
            if (chunkBytes > MAXIMUM_CHUNK_BYTES) {
                throw new MalformedMessageException("chunk of more than 1 TiB");
            }
            return State.SIZE;
        }
        if (next == '\r') {
            return State.SIZE_LINE_END;
        }
        extensions.start();
        extensions.check(next);
        return State.EXTENSIONS;
    }

    private State inExtensions(int next) throws MalformedMessageException {
        if (next == '\r' && extensions.mayEnd()) {
            return State.SIZE_LINE_END;
        }
        extensions.check(next);
        return State.EXTENSIONS;
    }

    private State afterSizeLine(int next) throws MalformedMessageException {
        expect('\n', next, State.DATA);
        if (chunkBytes > 0) {
            return State.DATA;
        }
        trailers.start();
        return State.TRAILERS;
    }

    private State inTrailers(int next) throws MalformedMessageException {
        trailers.check(next);
        if (trailers.framing().areStated()) {
            throw new MalformedMessageException("trailer that states a length or a coding");
        }
        return trailers.isComplete() ? State.COMPLETE : State.TRAILERS;
    }
}
