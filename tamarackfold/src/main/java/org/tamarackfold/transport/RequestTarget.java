package org.tamarackfold.transport;

import io.vavr.control.Option;
import java.util.Locale;

/**
 * What a request asks for, byte for byte as it was received (RFC 9112, 3.2). Undertow drops an
 * empty query and the first character of one that begins with a question mark.
 *
 * @param text the target, decoded as Latin-1
 */
public record RequestTarget(String text) {
    private static final String SCHEME = "http://";
    private static final String ROOT = "/";

    /**
     * Checks the form of a target.
     *
     * @throws MalformedMessageException when the method allows no target of this form
     */
    static RequestTarget of(String method, String text) throws MalformedMessageException {
        RequestTarget target = new RequestTarget(text);
        boolean valid =
                text.startsWith(ROOT)
                        || target.authority().exists(RequestTarget::isAuthority)
                        || (text.equals("*") && method.equals("OPTIONS"))
                        || method.equals("CONNECT");
        if (!valid) {
            throw new MalformedMessageException("request target without a path");
        }
        checkEscapes(text);
        return target;
    }

    private static boolean isAuthority(String authority) {
        return !authority.isEmpty() && authority.chars().allMatch(HttpCharacters::isHost);
    }

    private static void checkEscapes(String text) throws MalformedMessageException {
        for (int i = text.indexOf('%'); i >= 0; i = text.indexOf('%', i + 1)) {
            boolean escape =
                    i + 2 < text.length()
                            && HttpCharacters.isHexadecimal(text.charAt(i + 1))
                            && HttpCharacters.isHexadecimal(text.charAt(i + 2));
            if (!escape) {
                throw new MalformedMessageException("malformed escape in a request target");
            }
        }
    }

    /** Returns what a target in absolute form has before its path; the parser compares the Host. */
    private Option<String> authority() {
        return isAbsolute()
                ? Option.some(text.substring(SCHEME.length(), authorityEnd()))
                : Option.none();
    }

    /** Returns the path without the query. */
    public String path() {
        String pathAndQuery = pathAndQuery();
        int query = pathAndQuery.indexOf('?');
        return query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
    }

    /** Returns the path with the query, which may be empty, as an endpoint gets them. */
    public String pathAndQuery() {
        if (!isAbsolute()) {
            return text;
        }
        String pathAndQuery = text.substring(authorityEnd());
        return pathAndQuery.startsWith(ROOT) ? pathAndQuery : ROOT + pathAndQuery;
    }

    private boolean isAbsolute() {
        int length = SCHEME.length();
        return text.length() > length
                && text.substring(0, length).toLowerCase(Locale.ROOT).equals(SCHEME);
    }

    private int authorityEnd() {
        int end = SCHEME.length();
        while (end < text.length() && text.charAt(end) != '/' && text.charAt(end) != '?') {
            end++;
        }
        return end;
    }

    @Override
    public String toString() {
        return text;
    }
}
