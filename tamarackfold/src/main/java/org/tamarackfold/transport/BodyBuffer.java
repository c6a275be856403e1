package org.tamarackfold.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Collects a body that arrives in pieces. */
public final class BodyBuffer {
    /** Initial size, in bytes; most bodies that are collected are smaller. */
    private static final int INITIAL_BYTES = 1_024;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream(INITIAL_BYTES);

    /** Adds the remaining bytes of a buffer. */
    public void append(ByteBuffer bytes) {
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        collected.writeBytes(piece);
    }

    /** Returns all bytes so far. */
    public byte[] toByteArray() {
        return collected.toByteArray();
    }
}
