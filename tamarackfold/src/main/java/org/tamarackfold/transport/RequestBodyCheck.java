package org.tamarackfold.transport;

import java.nio.ByteBuffer;

/** Finds the end of the body of a request, and checks its framing. Not thread-safe. */
final class RequestBodyCheck {
    private final ChunkFramingCheck chunks = new ChunkFramingCheck();

    /** The bytes that are missing of a body with a length. */
    private long missingBytes;

    /** Expects a body. */
    void startBody(BodyFraming framing) {
        missingBytes = 0;
        chunks.expectNothing();
        switch (framing) {
            case BodyFraming.NoBody() -> {}
            case BodyFraming.Length(long bytes) -> missingBytes = bytes;
            case BodyFraming.Chunks() -> chunks.startBody();
            case BodyFraming.UntilClose() ->
                    throw new IllegalArgumentException("no request ends with its connection");
        }
    }

    /** Returns whether the body is complete. */
    boolean isComplete() {
        return missingBytes == 0 && chunks.isComplete();
    }

    /**
     * Checks the bytes of a buffer from an offset to its position.
     *
     * @return the offset of the first byte after the body; the position if there is none
     * @throws MalformedMessageException when the bytes cannot be part of the body
     */
    int check(ByteBuffer buffer, int offset) throws MalformedMessageException {
        if (missingBytes == 0) {
            return chunks.check(buffer, offset);
        }
        int count = (int) Math.min(missingBytes, buffer.position() - offset);
        missingBytes -= count;
        return offset + count;
    }
}
