package org.tamarackfold.transport;

/**
 * The Host fields of a head. A request has exactly one (RFC 9112, 3.2): recipients that choose
 * among several find different routes.
 */
final class HostField {
    private static final String NAME = "Host";

    private int count;
    private boolean valid = true;

    /** Returns whether a field has this name. */
    static boolean isNamed(String name) {
        return NAME.equalsIgnoreCase(name);
    }

    /** Adds a field, with the value without white space around it. */
    void add(String value) {
        count++;
        valid &= value.chars().allMatch(HttpCharacters::isHost);
    }

    /**
     * Checks the fields of a request.
     *
     * @param minorVersion the minor version of HTTP/1 that the request states
     * @throws MalformedMessageException when they are not those of a request
     */
    void checkRequest(int minorVersion) throws MalformedMessageException {
        if (count > 1) {
            throw new MalformedMessageException("repeated Host");
        }
        if (count == 0 && minorVersion > 0) {
            throw new MalformedMessageException("no Host");
        }
        if (!valid) {
            throw new MalformedMessageException("Host that names no host");
        }
    }
}
