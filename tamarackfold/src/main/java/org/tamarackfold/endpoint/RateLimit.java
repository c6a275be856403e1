package org.tamarackfold.endpoint;

import io.vavr.control.Option;
import java.util.regex.Pattern;

/**
 * The number of calls a second that an endpoint takes from all hosts together.
 *
 * @param callsPerSecond the limit; zero when the endpoint takes none
 */
public record RateLimit(double callsPerSecond) {
    /** Digits with an optional fraction; the length keeps the value finite. */
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("\\d{1,15}(\\.\\d{0,15})?");

    /**
     * Creates a limit.
     *
     * @throws IllegalArgumentException when the limit is negative or not finite
     */
    public RateLimit {
        if (!(callsPerSecond >= 0) || Double.isInfinite(callsPerSecond)) {
            throw new IllegalArgumentException("rate limit out of range: " + callsPerSecond);
        }
    }

    /** Parses a decimal number without sign or exponent; none when the text is not one. */
    public static Option<RateLimit> parse(String text) {
        String trimmed = text.trim();
        return DECIMAL_NUMBER.matcher(trimmed).matches()
                ? Option.some(new RateLimit(Double.parseDouble(trimmed)))
                : Option.none();
    }

    @Override
    public String toString() {
        return Double.toString(callsPerSecond);
    }
}
