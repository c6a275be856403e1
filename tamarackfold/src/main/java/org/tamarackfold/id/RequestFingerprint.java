package org.tamarackfold.id;

import java.nio.ByteBuffer;
import java.util.HexFormat;

/**
 * Identifies a request by its content: copies of one request have the same fingerprint, whatever
 * their ids, the hosts that receive them and the attempts.
 *
 * @param high the first 8 bytes of a digest
 * @param low the next 8 bytes
 */
public record RequestFingerprint(long high, long low) {
    /** Length of an encoded fingerprint, in bytes. */
    public static final int LENGTH = 2 * Long.BYTES;

    /**
     * Decodes a fingerprint.
     *
     * @throws IllegalArgumentException when there are not {@link #LENGTH} bytes
     */
    public static RequestFingerprint ofBytes(byte[] bytes) {
        if (bytes.length != LENGTH) {
            throw new IllegalArgumentException("Fingerprint has " + bytes.length + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestFingerprint(buffer.getLong(), buffer.getLong());
    }

    /** Returns the {@link #LENGTH} bytes of this fingerprint. */
    public byte[] toBytes() {
        return ByteBuffer.allocate(LENGTH).putLong(high).putLong(low).array();
    }

    @Override
    public String toString() {
        return HexFormat.of().formatHex(toBytes());
    }
}
