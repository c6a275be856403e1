package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.Locale;

/** Copies end-to-end headers between callers and endpoints; hop-by-hop headers are left out. */
final class EndToEndHeaders {
    /** Headers that apply to one connection or that each hop sets itself. */
    private static final Set<HttpString> HOP_BY_HOP_HEADERS =
            HashSet.of(
                    Headers.CONNECTION,
                    Headers.CONTENT_LENGTH,
                    Headers.EXPECT,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.TRANSFER_ENCODING,
                    Headers.UPGRADE,
                    new HttpString("Keep-Alive"),
                    new HttpString("Proxy-Connection"));

    private EndToEndHeaders() {}

    /** Returns the headers to send to an endpoint, without those that callers must not set. */
    static HeaderMap forEndpoint(HeaderMap received, CallHeaderNames headerNames) {
        HeaderMap forwarded = new HeaderMap();
        copy(received, forwarded, headerNames.reserved());
        return forwarded;
    }

    /** Copies the headers of an endpoint's response to the response for the caller. */
    static void copyForCaller(HeaderMap received, HeaderMap target) {
        copy(received, target, HashSet.empty());
    }

    private static void copy(HeaderMap source, HeaderMap target, Set<HttpString> excluded) {
        Set<HttpString> connectionOptions = connectionOptions(source);
        for (HeaderValues values : source) {
            HttpString name = values.getHeaderName();
            if (HOP_BY_HOP_HEADERS.contains(name)
                    || excluded.contains(name)
                    || connectionOptions.contains(name)) {
                continue;
            }
            target.remove(name);
            values.forEach(value -> target.add(name, value));
        }
    }

    /** Returns the headers that the Connection header declares as hop-by-hop. */
    private static Set<HttpString> connectionOptions(HeaderMap headers) {
        HeaderValues connection = headers.get(Headers.CONNECTION);
        if (connection == null) {
            return HashSet.empty();
        }
        return HashSet.ofAll(connection)
                .flatMap(value -> HashSet.of(value.toLowerCase(Locale.ROOT).split("[ ,]+")))
                .filter(name -> !name.isEmpty())
                .map(HttpString::new);
    }
}
