package org.tamarackfold.id;

/**
 * The secret by which a caller shows which customer it belongs to. Its text never appears in {@link
 * #toString}, so that it cannot reach logs and messages by accident.
 *
 * @param secret 1 to 512 visible ASCII characters
 */
public record ApiKey(String secret) {
    /** The largest length of a key, in characters. */
    public static final int MAXIMUM_LENGTH = 512;

    /** Rejects other text with an {@link IllegalArgumentException} that does not contain it. */
    public ApiKey {
        if (!isValid(secret)) {
            throw new IllegalArgumentException("ApiKey is malformed");
        }
    }

    /** Returns whether a text has the form of a key. */
    public static boolean isValid(String text) {
        return text != null
                && !text.isEmpty()
                && text.length() <= MAXIMUM_LENGTH
                && text.chars().allMatch(character -> character > ' ' && character < 0x7F);
    }

    @Override
    public String toString() {
        return "ApiKey[redacted]";
    }
}
