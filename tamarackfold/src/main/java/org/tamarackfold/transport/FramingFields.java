package org.tamarackfold.transport;

import io.vavr.control.Option;

/**
 * What the fields of a head or of trailers state about the length and the coding of the body. A
 * statement counts only if it is valid and the only one: recipients that choose among several find
 * different bodies.
 */
final class FramingFields {
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** The only coding that a server may apply unless the request allows others. */
    private static final String CHUNKED = "chunked";

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private Option<Long> length = Option.none();
    private boolean chunked;

    /** Returns whether fields of this name state how a body is framed. */
    static boolean includes(String name) {
        return CONTENT_LENGTH.equalsIgnoreCase(name) || TRANSFER_ENCODING.equalsIgnoreCase(name);
    }

    /**
     * Adds a field.
     *
     * @param value the value without white space around it
     * @throws MalformedMessageException when the value is not valid, or the field is repeated
     */
    void add(String name, String value) throws MalformedMessageException {
        if (CONTENT_LENGTH.equalsIgnoreCase(name)) {
            addLength(value);
        } else if (TRANSFER_ENCODING.equalsIgnoreCase(name)) {
            addCoding(value);
        }
    }

    private void addLength(String value) throws MalformedMessageException {
        if (length.isDefined()) {
            throw new MalformedMessageException("repeated Content-Length");
        }
        if (value.isEmpty() || !value.chars().allMatch(HttpCharacters::isDigit)) {
            throw new MalformedMessageException("Content-Length that is no number");
        }
        try {
            length = Option.some(Long.parseLong(value));
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("Content-Length of 8 EiB or more");
        }
    }

    private void addCoding(String value) throws MalformedMessageException {
        if (chunked) {
            throw new MalformedMessageException("repeated Transfer-Encoding");
        }
        if (!CHUNKED.equalsIgnoreCase(value)) {
            throw new MalformedMessageException("Transfer-Encoding other than chunked");
        }
        chunked = true;
    }

    /** Returns whether any of the fields states how a body is framed. */
    boolean areStated() {
        return chunked || length.isDefined();
    }

    /**
     * Returns how the body of a response with these fields is framed.
     *
     * @param minorVersion the minor version of HTTP/1 that the response states
     * @param respondsToHead whether the request has the method HEAD
     * @throws MalformedMessageException when the fields contradict each other, the status or the
     *     version
     */
    BodyFraming responseBody(int status, int minorVersion, boolean respondsToHead)
            throws MalformedMessageException {
        checkCoding(minorVersion);
        boolean neverHasBody = status < FIRST_FINAL_STATUS || status == NO_CONTENT;
        if (neverHasBody && (chunked || length.exists(bytes -> bytes > 0))) {
            throw new MalformedMessageException("status " + status + " with a body");
        }
        if (neverHasBody || status == NOT_MODIFIED || respondsToHead) {
            return new BodyFraming.NoBody();
        }
        if (chunked) {
            return new BodyFraming.Chunks();
        }
        return length.isDefined()
                ? new BodyFraming.Length(length.get())
                : new BodyFraming.UntilClose();
    }

    /**
     * Returns how the body of a request with these fields is framed.
     *
     * @param minorVersion the minor version of HTTP/1 that the request states
     * @throws MalformedMessageException when the fields contradict each other or the version
     */
    BodyFraming requestBody(int minorVersion) throws MalformedMessageException {
        checkCoding(minorVersion);
        if (chunked) {
            return new BodyFraming.Chunks();
        }
        long bytes = length.getOrElse(0L);
        return bytes == 0 ? new BodyFraming.NoBody() : new BodyFraming.Length(bytes);
    }

    private void checkCoding(int minorVersion) throws MalformedMessageException {
        if (chunked && length.isDefined()) {
            throw new MalformedMessageException("both Content-Length and Transfer-Encoding");
        }
        if (chunked && minorVersion == 0) {
            throw new MalformedMessageException("Transfer-Encoding in HTTP/1.0");
        }
    }
}
