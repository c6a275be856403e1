package org.tamarackfold.daemon.soak.http;

import java.nio.charset.StandardCharsets;

/** A line that a faulty endpoint adds to the head of a response, which HTTP then does not allow. */
public enum SpoiledHead {
    /** A length that is not that of the body, beside the length or the coding of the response. */
    LENGTH("Content-Length: 3"),

    /** A length with a sign. */
    SIGNED_LENGTH("Content-Length: +3"),

    /** A coding that nobody has asked for. */
    CODING("Transfer-Encoding: gzip"),

    /** A line that continues the one before it. */
    FOLDED(" folded"),

    /** A field with a blank in its name. */
    BLANK_IN_NAME("Soak Field: 1");

    private static final String STATUS_LINE_START = "HTTP/1.1 ";
    private static final String LINE_END = "\r\n";

    private final String line;

    SpoiledHead(String line) {
        this.line = line;
    }

    /** Returns whether a block of bytes begins with the head of a response. */
    static boolean isHead(byte[] block, int length) {
        return text(block, length).startsWith(STATUS_LINE_START);
    }

    /** Returns a block that begins with a head, with the line after the first field of the head. */
    byte[] addTo(byte[] block, int length) {
        String head = text(block, length);
        int firstField = head.indexOf(LINE_END) + LINE_END.length();
        int offset = head.indexOf(LINE_END, firstField) + LINE_END.length();
        String spoiled = head.substring(0, offset) + line + LINE_END + head.substring(offset);
        return spoiled.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String text(byte[] block, int length) {
        return new String(block, 0, length, StandardCharsets.ISO_8859_1);
    }
}
