package org.tamarackfold.transport;

import java.util.Arrays;

/** The characters that the parts of a message consist of (RFC 9110, 5.5 and 5.6.2). */
final class HttpCharacters {
    private static final int DELETE = 0x7f;
    private static final int MAXIMUM_BYTE = 0xff;
    private static final boolean[] TOKEN = charactersWith("!#$%&'*+-.^_`|~");
    private static final boolean[] HOST = charactersWith("-._~%!$&'()*+,;=:[]");

    private HttpCharacters() {}

    /** Returns a table of the letters, the digits and the given characters. */
    private static boolean[] charactersWith(String others) {
        boolean[] characters = new boolean[MAXIMUM_BYTE + 1];
        Arrays.fill(characters, '0', '9' + 1, true);
        Arrays.fill(characters, 'A', 'Z' + 1, true);
        Arrays.fill(characters, 'a', 'z' + 1, true);
        others.chars().forEach(character -> characters[character] = true);
        return characters;
    }

    /** Returns whether a character may be part of a token, such as the name of a field. */
    static boolean isToken(int character) {
        return character <= MAXIMUM_BYTE && TOKEN[character];
    }

    /** Returns whether a character may be part of the value of a field, or of a reason phrase. */
    static boolean isText(int character) {
        return character >= ' ' && character <= MAXIMUM_BYTE && character != DELETE
                || character == '\t';
    }

    /**
     * Returns whether a character may be part of the target of a request. Characters that URIs
     * should escape (RFC 3986, 2) pass, but not the one that would begin a fragment.
     */
    static boolean isTarget(int character) {
        return character > ' '
                && character <= MAXIMUM_BYTE
                && character != DELETE
                && character != '#';
    }

    /** Returns whether a character may be part of a host with a port (RFC 3986, 3.2). */
    static boolean isHost(int character) {
        return character <= MAXIMUM_BYTE && HOST[character];
    }

    /** Returns whether a character is a digit; digits of other scripts are none. */
    static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    /** Returns whether a character is a hexadecimal digit of ASCII. */
    static boolean isHexadecimal(int character) {
        return isDigit(character)
                || (character >= 'a' && character <= 'f')
                || (character >= 'A' && character <= 'F');
    }

    /** Returns the value of a field without the white space that may stand around it. */
    static String trim(CharSequence value) {
        int start = 0;
        int end = value.length();
        while (start < end && isWhitespace(value.charAt(start))) {
            start++;
        }
        while (start < end && isWhitespace(value.charAt(end - 1))) {
            end--;
        }
        return value.subSequence(start, end).toString();
    }

    /** Returns whether a character is a space or a tab. */
    static boolean isWhitespace(int character) {
        return character == ' ' || character == '\t';
    }
}
