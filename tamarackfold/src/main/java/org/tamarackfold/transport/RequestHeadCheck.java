package org.tamarackfold.transport;

/**
 * Checks that the head of a request is in the grammar of HTTP/1.1 (RFC 9110, RFC 9112), and finds
 * out how the body is framed. Fails at the first wrong byte, since no further one may come. Not
 * thread-safe.
 */
final class RequestHeadCheck extends HeadCheck {
    /** The version at the end of a request line, in which {@link #ANY_DIGIT} stands for a digit. */
    private static final String VERSION_FORM = "HTTP/1.#";

    private static final char ANY_DIGIT = '#';

    private enum State {
        METHOD,
        TARGET,
        VERSION,
        LINE_END,
        FIELDS,
        COMPLETE
    }

    private final StringBuilder method = new StringBuilder();
    private final StringBuilder targetText = new StringBuilder();
    private State state = State.METHOD;

    /** The position in the version. */
    private int position;

    private int minorVersion;
    private RequestTarget target;

    /** Expects the head of the next request. */
    void startRequest() {
        state = State.METHOD;
        method.setLength(0);
        targetText.setLength(0);
        position = 0;
    }

    @Override
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns what the request asks for, after its head is complete. */
    RequestTarget target() {
        return target;
    }

    @Override
    void check(int next) throws MalformedMessageException {
        switch (state) {
            case METHOD -> checkMethod(next);
            case TARGET -> checkTarget(next);
            case VERSION -> checkVersion(next);
            case LINE_END -> endRequestLine(next);
            case FIELDS -> checkFields(next);
            case COMPLETE -> throw new IllegalStateException("the head is complete");
        }
    }

    private void checkMethod(int next) throws MalformedMessageException {
        if (next == ' ' && !method.isEmpty()) {
            state = State.TARGET;
            return;
        }
        if (!HttpCharacters.isToken(next)) {
            throw new MalformedMessageException("no method at the start of a request");
        }
        method.append((char) next);
    }

    private void checkTarget(int next) throws MalformedMessageException {
        if (next == ' ') {
            target = RequestTarget.of(method.toString(), targetText.toString());
            state = State.VERSION;
            return;
        }
        if (!HttpCharacters.isTarget(next)) {
            throw new MalformedMessageException("character outside of the grammar of targets");
        }
        targetText.append((char) next);
    }

    private void checkVersion(int next) throws MalformedMessageException {
        if (position == VERSION_FORM.length()) {
            if (next != '\r') {
                throw new MalformedMessageException("bytes after the version of a request");
            }
            state = State.LINE_END;
            return;
        }
        char expected = VERSION_FORM.charAt(position++);
        boolean matches = expected == ANY_DIGIT ? HttpCharacters.isDigit(next) : next == expected;
        if (!matches) {
            throw new MalformedMessageException("no request line of HTTP/1");
        }
        minorVersion = next - '0';
    }

    private void endRequestLine(int next) throws MalformedMessageException {
        startFields(next);
        state = State.FIELDS;
    }

    private void checkFields(int next) throws MalformedMessageException {
        fields.check(next);
        if (!fields.isComplete()) {
            return;
        }
        fields.host().checkRequest(minorVersion);
        framing = fields.framing().requestBody(minorVersion);
        state = State.COMPLETE;
    }
}
