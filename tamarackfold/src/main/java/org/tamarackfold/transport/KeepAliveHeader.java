package org.tamarackfold.transport;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the Keep-Alive header, in which a server states when it closes an idle connection. */
final class KeepAliveHeader {
    /** Safety margin below the timeout of a server, which is stated in whole seconds. */
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Longer timeouts are left to the default of the client. */
    private static final Pattern TIMEOUT_SECONDS = Pattern.compile("timeout=(\\d{1,5})(?!\\d)");

    private KeepAliveHeader() {}

    /**
     * Returns how long an idle connection may be reused, in ns; none when the server does not say.
     *
     * @param value the value of the header; null without one
     */
    static Option<Long> idleTimeoutNanos(String value) {
        Matcher timeout = TIMEOUT_SECONDS.matcher(value == null ? "" : value);
        if (!timeout.find()) {
            return Option.none();
        }
        long statedNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(timeout.group(1)));
        return Option.some(Math.max(0, statedNanos - MARGIN_NANOS));
    }
}
