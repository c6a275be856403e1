package org.tamarackfold.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Digest of a conversation up to one turn: SHA-256 over the previous digest and the turn.
 *
 * @param value 64 hexadecimal digits, or the empty string for an empty conversation
 */
public record HistoryDigest(String value) {
    /** Digest of an empty conversation. */
    public static final HistoryDigest EMPTY = new HistoryDigest("");

    private static final int HEXADECIMAL_LENGTH = 64;

    /** Validates the length. */
    public HistoryDigest {
        if (!value.isEmpty() && value.length() != HEXADECIMAL_LENGTH) {
            throw new IllegalArgumentException("History digest is malformed: " + value);
        }
    }

    /** Returns the digest after one more turn. */
    public HistoryDigest append(Turn turn) {
        MessageDigest digest = sha256();
        digest.update(value.getBytes(StandardCharsets.US_ASCII));
        digest.update((byte) 0);
        digest.update(turn.role().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(turn.content().getBytes(StandardCharsets.UTF_8));
        return new HistoryDigest(HexFormat.of().formatHex(digest.digest()));
    }

    /** Returns the digest after more turns. */
    public HistoryDigest appendAll(List<Turn> turns) {
        HistoryDigest result = this;
        for (Turn turn : turns) {
            result = result.append(turn);
        }
        return result;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
