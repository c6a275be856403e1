package org.tamarackfold.daemon.soak.http;

import java.util.Locale;

/** A request that HTTP does not allow, with a sound request where its body is due. */
enum MalformedRequest {
    /** A length beyond 64 bits. */
    LONG_LENGTH("Content-Length: 18446744073709551616", "%s"),

    /** A length with a sign. */
    SIGNED_LENGTH("Content-Length: +0", "%s"),

    /** A length beside a coding. */
    LENGTH_AND_CODING("Content-Length: 0\r\nTransfer-Encoding: chunked", "0\r\n\r\n%s"),

    /** A coding that requests must not have. */
    OTHER_CODING("Transfer-Encoding: gzip", "%s"),

    /** A size without a digit. */
    NO_SIZE("Transfer-Encoding: chunked", "g\r\n\r\n%s"),

    /** A size beyond 64 bits. */
    LONG_SIZE("Transfer-Encoding: chunked", "10000000000000000\r\n\r\n%s"),

    /** A chunk that goes on after its size. */
    LONG_CHUNK("Transfer-Encoding: chunked", "1\r\nab\r\n0\r\n\r\n%s"),

    /** A size line that ends without a carriage return. */
    BARE_LINE_FEED("Transfer-Encoding: chunked", "0\n\r\n%s"),

    /** A malformed extension. */
    EXTENSION("Transfer-Encoding: chunked", "0;\r\n\r\n%s"),

    /** A trailer that states a length. */
    TRAILER("Transfer-Encoding: chunked", "0\r\nContent-Length: 0\r\n\r\n%s"),

    /** A folded line. */
    FOLDED_FIELD("Soak: a\r\n folded\r\nContent-Length: 0", "%s"),

    /** A second host. */
    SECOND_HOST("Host: other.example\r\nContent-Length: 0", "%s");

    private final String fields;
    private final String body;

    MalformedRequest(String fields, String body) {
        this.fields = fields;
        this.body = body;
    }

    /**
     * Returns the bytes, as Latin-1.
     *
     * @param head the request line and fields of a sound request, with their line ends
     * @param inside a sound request
     */
    String text(String head, String inside) {
        return head + fields + "\r\n\r\n" + body.formatted(inside);
    }

    /** Returns the name in reports. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
