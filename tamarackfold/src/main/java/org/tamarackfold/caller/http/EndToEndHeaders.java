package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.Locale;

/** Copies headers between callers and endpoints, except those of one connection. */
final class EndToEndHeaders {
    private static final Set<HttpString> CONNECTION_HEADERS =
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

    /** Returns the headers that an endpoint receives. */
    static HeaderMap forEndpoint(HeaderMap received, CallHeaders names) {
        HeaderMap forwarded = new HeaderMap();
        copy(received, forwarded, names.reserved());
        return forwarded;
    }

    /** Copies the headers of an endpoint's answer. */
    static void copyForCaller(HeaderMap received, HeaderMap answer) {
        copy(received, answer, HashSet.empty());
    }

    private static void copy(HeaderMap from, HeaderMap target, Set<HttpString> removed) {
        Set<HttpString> named = namedByConnection(from);
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            if (CONNECTION_HEADERS.contains(name)
                    || removed.contains(name)
                    || named.contains(name)) {
                continue;
            }
            target.remove(name);
            values.forEach(value -> target.add(name, value));
        }
    }

    private static Set<HttpString> namedByConnection(HeaderMap headers) {
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
