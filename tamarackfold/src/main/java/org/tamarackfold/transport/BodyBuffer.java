package org.tamarackfold.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Accumulates a message body that arrives in parts. Not thread-safe. */
public final class BodyBuffer {
    /** Initial capacity; most bodies fit without growth. */
    private static final int INITIAL_CAPACITY_BYTES = 1_024;

    private final ByteArrayOutputStream content = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);

    /** Appends a copy of the remaining bytes of the buffer. */
    public void append(ByteBuffer bytes) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        content.writeBytes(part);
    }

    /** Returns the number of bytes in the buffer. */
    public int size() {
        return content.size();
    }

    /** Returns the bytes and empties the buffer. */
    public byte[] drain() {
        byte[] bytes = content.toByteArray();
        content.reset();
        return bytes;
    }

    /** Returns a copy of the bytes appended so far. */
    public byte[] toByteArray() {
        return content.toByteArray();
    }
}
