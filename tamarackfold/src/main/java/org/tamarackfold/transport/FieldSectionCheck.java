package org.tamarackfold.transport;

import io.vavr.control.Option;
import java.nio.ByteBuffer;

/**
 * Checks the fields of a head or of trailers (RFC 9112, 5) byte by byte, up to the empty line that
 * ends them. Folded lines and lines that end without a carriage return are rejected, as the RFC
 * allows. Fails at the first wrong byte, since no further one may come. Not thread-safe.
 */
final class FieldSectionCheck {
    private enum State {
        LINE_START,
        NAME,
        VALUE,
        LINE_END,
        SECTION_END,
        COMPLETE
    }

    /** Longer names are those of no field whose value matters here. */
    private static final int MAXIMUM_KEPT_NAME_LENGTH = 32;

    private final StringBuilder name = new StringBuilder(MAXIMUM_KEPT_NAME_LENGTH);

    /** The value of a field that is collected; none within others. */
    private Option<StringBuilder> value = Option.none();

    private FramingFields framing = new FramingFields();
    private HostField host = new HostField();
    private State state = State.COMPLETE;

    /** Expects the first line. */
    void start() {
        state = State.LINE_START;
        framing = new FramingFields();
        host = new HostField();
    }

    /** Returns whether the empty line at the end has been checked. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns what the fields checked so far state about a body. */
    FramingFields framing() {
        return framing;
    }

    /** Returns the Host fields checked so far. */
    HostField host() {
        return host;
    }

    /**
     * Checks the next byte.
     *
     * @param next the byte, from 0 to 255
     * @throws MalformedMessageException when it cannot be part of the fields
     */
    void check(int next) throws MalformedMessageException {
        state =
                switch (state) {
                    case LINE_START -> next == '\r' ? State.SECTION_END : firstOfName(next);
                    case NAME -> next == ':' ? afterName() : inName(next);
                    case VALUE -> next == '\r' ? afterValue() : inValue(next);
                    case LINE_END -> afterLineFeed(next, State.LINE_START);
                    case SECTION_END -> afterLineFeed(next, State.COMPLETE);
                    case COMPLETE -> throw new IllegalStateException("fields are complete");
                };
    }

    /**
     * Checks the bytes of a value that is not collected, from an offset of a buffer to its
     * position.
     *
     * @return the offset of the first byte that is no part of the value, or is to be collected
     */
    int skipValue(ByteBuffer buffer, int offset) {
        int next = offset;
        if (state == State.VALUE && value.isEmpty()) {
            int end = buffer.position();
            while (next < end && HttpCharacters.isText(Byte.toUnsignedInt(buffer.get(next)))) {
                next++;
            }
        }
        return next;
    }

    /**
     * Checks a field that was decoded already.
     *
     * @throws MalformedMessageException when it cannot be a field
     */
    static void checkField(String name, String value) throws MalformedMessageException {
        if (name.isEmpty()) {
            throw new MalformedMessageException("field without a name");
        }
        for (int i = 0; i < name.length(); i++) {
            checkNameCharacter(name.charAt(i));
        }
        for (int i = 0; i < value.length(); i++) {
            checkValueCharacter(value.charAt(i));
        }
    }

    private static void checkNameCharacter(int character) throws MalformedMessageException {
        if (!HttpCharacters.isToken(character)) {
            throw new MalformedMessageException("line that is no field");
        }
    }

    private static void checkValueCharacter(int character) throws MalformedMessageException {
        if (!HttpCharacters.isText(character)) {
            throw new MalformedMessageException("control character in the value of a field");
        }
    }

    private State firstOfName(int next) throws MalformedMessageException {
        name.setLength(0);
        return inName(next);
    }

    private State inName(int next) throws MalformedMessageException {
        checkNameCharacter(next);
        if (name.length() < MAXIMUM_KEPT_NAME_LENGTH) {
            name.append((char) next);
        }
        return State.NAME;
    }

    private State afterName() {
        value = isCollected() ? Option.some(new StringBuilder()) : Option.none();
        return State.VALUE;
    }

    private boolean isCollected() {
        String fieldName = name.toString();
        return FramingFields.includes(fieldName) || HostField.isNamed(fieldName);
    }

    private State inValue(int next) throws MalformedMessageException {
        checkValueCharacter(next);
        if (value.isDefined()) {
            value.get().append((char) next);
        }
        return State.VALUE;
    }

    private State afterValue() throws MalformedMessageException {
        if (value.isDefined()) {
            addField(name.toString(), HttpCharacters.trim(value.get()));
            value = Option.none();
        }
        return State.LINE_END;
    }

    private void addField(String fieldName, String fieldValue) throws MalformedMessageException {
        if (HostField.isNamed(fieldName)) {
            host.add(fieldValue);
        } else {
            framing.add(fieldName, fieldValue);
        }
    }

    private static State afterLineFeed(int next, State following) throws MalformedMessageException {
        checkLineFeed(next);
        return following;
    }

    /**
     * Checks the byte after a carriage return.
     *
     * @throws MalformedMessageException when it does not end the line
     */
    static void checkLineFeed(int next) throws MalformedMessageException {
        if (next != '\n') {
            throw new MalformedMessageException("carriage return without line feed");
        }
    }
}
