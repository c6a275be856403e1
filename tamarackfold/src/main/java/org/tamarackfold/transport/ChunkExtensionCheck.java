package org.tamarackfold.transport;

/**
 * Checks the extensions of a chunk (RFC 9112, 7.1.1) byte by byte, from the first byte after the
 * size to the end of its line. Not thread-safe.
 */
final class ChunkExtensionCheck {
    private enum State {
        BEFORE_SEMICOLON,
        NAME_START,
        NAME,
        AFTER_NAME,
        VALUE_START,
        VALUE,
        QUOTED_VALUE,
        QUOTED_PAIR,
        QUOTED_VALUE_END
    }

    private State state = State.BEFORE_SEMICOLON;

    /** Expects the first byte after a size. */
    void start() {
        state = State.BEFORE_SEMICOLON;
    }

    /** Returns whether the line may end after the bytes checked so far. */
    boolean mayEnd() {
        return state == State.NAME || state == State.VALUE || state == State.QUOTED_VALUE_END;
    }

    /**
     * Checks the next byte.
     *
     * @param next the byte, from 0 to 255
     * @throws MalformedMessageException when it cannot be part of an extension
     */
    void check(int next) throws MalformedMessageException {
        state =
                switch (state) {
                    case BEFORE_SEMICOLON -> isSpace(next) ? state : afterSemicolon(next);
                    case NAME_START -> isSpace(next) ? state : token(next, State.NAME);
                    case NAME -> isSpace(next) ? State.AFTER_NAME : inName(next);
                    case AFTER_NAME -> isSpace(next) ? state : afterName(next);
                    case VALUE_START -> isSpace(next) ? state : firstOfValue(next);
                    case VALUE -> HttpCharacters.isToken(next) ? state : afterValue(next);
                    case QUOTED_VALUE -> inQuotedValue(next);
                    case QUOTED_PAIR -> text(next);
                    case QUOTED_VALUE_END -> afterValue(next);
                };
    }

    private static boolean isSpace(int next) {
        return HttpCharacters.isWhitespace(next);
    }

    private static State token(int next, State following) throws MalformedMessageException {
        if (!HttpCharacters.isToken(next)) {
            throw malformed();
        }
        return following;
    }

    private static State text(int next) throws MalformedMessageException {
        if (!HttpCharacters.isText(next)) {
            throw malformed();
        }
        return State.QUOTED_VALUE;
    }

    private static State afterSemicolon(int next) throws MalformedMessageException {
        if (next != ';') {
            throw malformed();
        }
        return State.NAME_START;
    }

    private static State inName(int next) throws MalformedMessageException {
        return HttpCharacters.isToken(next) ? State.NAME : afterName(next);
    }

    private static State afterName(int next) throws MalformedMessageException {
        return next == '=' ? State.VALUE_START : afterSemicolon(next);
    }

    private static State firstOfValue(int next) throws MalformedMessageException {
        return next == '"' ? State.QUOTED_VALUE : token(next, State.VALUE);
    }

    private static State afterValue(int next) throws MalformedMessageException {
        return isSpace(next) ? State.BEFORE_SEMICOLON : afterSemicolon(next);
    }

    private static State inQuotedValue(int next) throws MalformedMessageException {
        return switch (next) {
            case '"' -> State.QUOTED_VALUE_END;
            case '\\' -> State.QUOTED_PAIR;
            default -> text(next);
        };
    }

    private static MalformedMessageException malformed() {
        return new MalformedMessageException("malformed extension of a chunk");
    }
}
