package org.tamarackfold.daemon.soak;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * What a ledger keeps of a body: bodies of 4 MB of all attempts do not fit into its heap.
 *
 * @param length the number of bytes
 */
public record BodyDigest(int length, long checksum) {
    /** Returns the digest of a body in UTF-8. */
    public static BodyDigest of(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return new BodyDigest(bytes.length, checksum.getValue());
    }
}
