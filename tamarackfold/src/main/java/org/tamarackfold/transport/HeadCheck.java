package org.tamarackfold.transport;

import java.nio.ByteBuffer;

/** What the checks of heads of requests and of responses share. Not thread-safe. */
abstract sealed class HeadCheck permits RequestHeadCheck, ResponseHeadCheck {
    final FieldSectionCheck fields = new FieldSectionCheck();

    /** How the body is framed, once the head is complete. */
    BodyFraming framing = new BodyFraming.NoBody();

    /** Returns whether the head is complete, or none is expected. */
    abstract boolean isComplete();

    /**
     * Checks the next byte.
     *
     * @param next the byte, from 0 to 255
     * @throws MalformedMessageException when it cannot be part of a head
     */
    abstract void check(int next) throws MalformedMessageException;

    /** Returns how the body is framed, after the head is complete. */
    BodyFraming framing() {
        return framing;
    }

    /**
     * Checks the bytes of a buffer from an offset to its position.
     *
     * @return the offset of the first byte after the head; the position if there is none
     * @throws MalformedMessageException when the bytes cannot be part of a head
     */
    int check(ByteBuffer buffer, int offset) throws MalformedMessageException {
        int next = offset;
        while (next < buffer.position() && !isComplete()) {
            check(Byte.toUnsignedInt(buffer.get(next++)));
            next = fields.skipValue(buffer, next);
        }
        return next;
    }

    /**
     * Checks the byte after the carriage return of the first line, and expects the fields.
     *
     * @throws MalformedMessageException when it does not end the line
     */
    void startFields(int next) throws MalformedMessageException {
        FieldSectionCheck.checkLineFeed(next);
        fields.start();
    }
}
