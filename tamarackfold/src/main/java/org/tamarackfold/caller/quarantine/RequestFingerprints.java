package org.tamarackfold.caller.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Locale;
import java.util.zip.CRC32C;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.RequestFingerprint;

/** Computes the fingerprints of requests. */
public final class RequestFingerprints {
    /** A collision would let one caller block the requests of others; callers choose bodies. */
    private static final String ALGORITHM = "SHA-256";

    /** Bytes at the beginning and at the end of a large body that are part of the digest. */
    private static final int LARGE_BODY_PART_BYTES = 32 * 1024;

    private RequestFingerprints() {}

    /**
     * Returns the fingerprint of a request: its customer, method, host name, path with query, and
     * the body that the caller sent: of a large one the beginning, the end, the length and a
     * checksum. The history of a turn is not part of it, nor are headers.
     */
    public static RequestFingerprint of(CallDescription call, String pathAndQuery, byte[] body) {
        MessageDigest digest = newDigest();
        // A customer cannot have an empty name, so that no request of one equals one without.
        add(digest, call.customer().map(CustomerName::value).getOrElse(""));
        add(digest, call.method());
        add(digest, call.host().toLowerCase(Locale.ROOT));
        add(digest, pathAndQuery);
        addBody(digest, body);
        byte[] value = digest.digest();
        return RequestFingerprint.ofBytes(Arrays.copyOf(value, RequestFingerprint.LENGTH));
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has " + ALGORITHM, e);
        }
    }

    /** A digest of a body of 4 MB would occupy the I/O thread for tens of ms. */
    private static void addBody(MessageDigest digest, byte[] body) {
        if (body.length <= 2 * LARGE_BODY_PART_BYTES) {
            add(digest, body);
            return;
        }
        add(digest, Arrays.copyOf(body, LARGE_BODY_PART_BYTES));
        add(digest, Arrays.copyOfRange(body, body.length - LARGE_BODY_PART_BYTES, body.length));
        CRC32C checksum = new CRC32C();
        checksum.update(body);
        add(digest, body.length + " " + checksum.getValue());
    }

    private static void add(MessageDigest digest, String text) {
        add(digest, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds a part after its length, so that no two sequences of parts are equal. */
    private static void add(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
        digest.update(part);
    }
}
