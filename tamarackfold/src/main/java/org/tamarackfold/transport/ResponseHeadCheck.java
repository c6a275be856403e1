package org.tamarackfold.transport;

/**
 * Checks that the heads of a response, interim ones and the final one, are in the grammar of
 * HTTP/1.1 (RFC 9110, RFC 9112), and finds out how the body is framed. All responses that this
 * process reads pass it before a client library parses them: a lenient library accepts malformed
 * heads and may find another body than the server has sent. Fails at the first wrong byte, since no
 * further one may come. Not thread-safe.
 */
final class ResponseHeadCheck extends HeadCheck {
    /** The beginning of a status line, in which {@link #ANY_DIGIT} stands for each digit. */
    private static final String STATUS_LINE_FORM = "HTTP/1.# ### ";

    private static final char ANY_DIGIT = '#';
    private static final int MINOR_VERSION_OFFSET = "HTTP/1.".length();
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_STATUS = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    private enum State {
        STATUS_LINE,
        REASON_PHRASE,
        STATUS_LINE_END,
        FIELDS,
        COMPLETE
    }

    /** Also set while no response is expected. */
    private State state = State.COMPLETE;

    private boolean respondsToHead;

    /** The position in the fixed beginning of the status line. */
    private int position;

    private int minorVersion;
    private int status;

    /**
     * Expects the heads of the next response.
     *
     * @param toHeadRequest whether the request has the method HEAD
     */
    void startResponse(boolean toHeadRequest) {
        respondsToHead = toHeadRequest;
        startHead();
    }

    private void startHead() {
        state = State.STATUS_LINE;
        position = 0;
        status = 0;
    }

    @Override
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    @Override
    void check(int next) throws MalformedMessageException {
        switch (state) {
            case STATUS_LINE -> checkStatusLine(next);
            case REASON_PHRASE -> checkReasonPhrase(next);
            case STATUS_LINE_END -> endStatusLine(next);
            case FIELDS -> checkFields(next);
            case COMPLETE -> throw new IllegalStateException("head is complete");
        }
    }

    private void checkStatusLine(int next) throws MalformedMessageException {
        char expected = STATUS_LINE_FORM.charAt(position);
        boolean isDigit = expected == ANY_DIGIT;
        if (isDigit ? !HttpCharacters.isDigit(next) : next != expected) {
            throw new MalformedMessageException("no status line of HTTP/1");
        }
        if (position == MINOR_VERSION_OFFSET) {
            minorVersion = next - '0';
        } else if (isDigit) {
            status = 10 * status + next - '0';
        }
        position++;
        if (position == STATUS_LINE_FORM.length()) {
            checkStatus(status);
            state = State.REASON_PHRASE;
        }
    }

    private static void checkStatus(int status) throws MalformedMessageException {
        if (status < FIRST_STATUS || status > LAST_STATUS) {
            throw new MalformedMessageException("status " + status + " out of range");
        }
        if (status == SWITCHING_PROTOCOLS) {
            // No request of this process asks for another protocol.
            throw new MalformedMessageException("status " + SWITCHING_PROTOCOLS + " unasked");
        }
    }

    /**
     * Checks the status of a final head.
     *
     * @throws MalformedMessageException when no final head can have it
     */
    static void checkFinalStatus(int status) throws MalformedMessageException {
        checkStatus(status);
        if (status < FIRST_FINAL_STATUS) {
            throw new MalformedMessageException("status " + status + " of an interim head");
        }
    }

    private void checkReasonPhrase(int next) throws MalformedMessageException {
        if (next == '\r') {
            state = State.STATUS_LINE_END;
        } else if (!HttpCharacters.isText(next)) {
            throw new MalformedMessageException("control character in the status line");
        }
    }

    private void endStatusLine(int next) throws MalformedMessageException {
        startFields(next);
        state = State.FIELDS;
    }

    private void checkFields(int next) throws MalformedMessageException {
        fields.check(next);
        if (!fields.isComplete()) {
            return;
        }
        framing = fields.framing().responseBody(status, minorVersion, respondsToHead);
        if (status < FIRST_FINAL_STATUS) {
            startHead();
        } else {
            state = State.COMPLETE;
        }
    }
}
