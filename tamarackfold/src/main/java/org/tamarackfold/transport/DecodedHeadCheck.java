package org.tamarackfold.transport;

import io.vavr.control.Option;

/**
 * Checks the head of a response that has reached this process in a message of another host, against
 * the same grammar as {@link ResponseHeadCheck}: the host may be of a build that does not check it.
 * Built for one head; not thread-safe.
 */
public final class DecodedHeadCheck {
    /** The minor version of heads that are passed on; the message does not state it. */
    private static final int MINOR_VERSION = 1;

    private final int status;
    private final FramingFields framing = new FramingFields();

    /** The first reason for which the head is malformed; none so far. */
    private Option<String> violation = Option.none();

    private DecodedHeadCheck(int status) {
        this.status = status;
        check(() -> ResponseHeadCheck.checkFinalStatus(status));
    }

    /** Returns a check of a head with this status and no fields so far. */
    public static DecodedHeadCheck ofStatus(int status) {
        return new DecodedHeadCheck(status);
    }

    /** Adds a field. */
    public DecodedHeadCheck field(String name, String value) {
        check(
                () -> {
                    FieldSectionCheck.checkField(name, value);
                    framing.add(name, HttpCharacters.trim(value));
                });
        return this;
    }

    /** Returns why the head is malformed; none if it is in the grammar. */
    public Option<String> violation() {
        check(() -> framing.responseBody(status, MINOR_VERSION, false));
        return violation;
    }

    private interface Step {
        void run() throws MalformedMessageException;
    }

    private void check(Step step) {
        if (violation.isDefined()) {
            return;
        }
        try {
            step.run();
        } catch (MalformedMessageException e) {
            violation = Option.some(e.getMessage());
        }
    }
}
