package org.tamarackfold.daemon.soak;

import org.tamarackfold.operator.CallSemantics;

/** Kind of a call; each kind has a route of the same name. */
public sealed interface CallKind {
    /** Label of calls of a surge, of which most are refused. */
    String SURGE_LABEL = "surge";

    /** Label of turns of another customer, which are all refused. */
    String FOREIGN_LABEL = "foreign";

    /** Size of large bodies, which is below the default limit of a release, in bytes. */
    int LARGE_BODY_BYTES = 4_000_000;

    int LARGE_STREAM_EVENTS = 8;

    /** A call that may run again. */
    record Plain() implements CallKind {}

    /** A call that may run once. */
    record Once() implements CallKind {}

    /**
     * A stream that must not be resumed.
     *
     * @param events the number of its events
     */
    record Stream(int events) implements CallKind {}

    /**
     * A stream that may be resumed after any event.
     *
     * @param events the number of its events
     */
    record ResumableStream(int events) implements CallKind {}

    /**
     * A turn of a program, which continues the history of earlier turns.
     *
     * @param events the number of its events
     */
    record Turn(int events) implements CallKind {}

    /**
     * A turn that continues a program with the key of another customer, which must be refused.
     *
     * @param events the number of its events
     */
    record ForeignTurn(int events) implements CallKind {}

    /**
     * A call of a customer that sends several times its usual load, which may be refused.
     *
     * @param runMillis how long an endpoint runs it
     */
    record Surge(int runMillis) implements CallKind {}

    /** A call with large bodies, which may run again. */
    record Large() implements CallKind {}

    /**
     * A stream of large events that must not be resumed. With 8 events, none is larger than the 1
     * MB that a host reads of an event.
     */
    record LargeStream() implements CallKind {}

    /** Returns the name of the route. */
    default String route() {
        return switch (this) {
            case Plain(), Surge(int _) -> "plain";
            case Once() -> "once";
            case Large() -> "large";
            case Stream(int _), LargeStream() -> "stream";
            case ResumableStream(int _) -> "resume";
            case Turn(int _), ForeignTurn(int _) -> "turn";
        };
    }

    /** Returns the name under which outcomes are counted. */
    default String label() {
        return switch (this) {
            case ForeignTurn(int _) -> FOREIGN_LABEL;
            case Surge(int _) -> SURGE_LABEL;
            case LargeStream() -> "large-stream";
            default -> route();
        };
    }

    /** Returns whether the call continues a program. */
    default boolean isTurn() {
        return this instanceof Turn || this instanceof ForeignTurn;
    }

    /** Returns the number of events; 0 for an answer that is no stream. */
    default int eventCount() {
        return switch (this) {
            case Plain(), Once(), Surge(int _), Large() -> 0;
            case Stream(int events) -> events;
            case LargeStream() -> LARGE_STREAM_EVENTS;
            case ResumableStream(int events) -> events;
            case Turn(int events) -> events;
            case ForeignTurn(int events) -> events;
        };
    }

    /** Returns the size of the request body above the usual one, in bytes. */
    default int requestBytes() {
        return this instanceof Large ? LARGE_BODY_BYTES : 0;
    }

    /** Returns the size of the response, or of each event, above the usual one, in bytes. */
    default int responseBytes() {
        return switch (this) {
            case Large() -> LARGE_BODY_BYTES;
            case LargeStream() -> LARGE_BODY_BYTES / LARGE_STREAM_EVENTS;
            default -> 0;
        };
    }

    /** Returns what the release says of the route. */
    default CallSemantics semantics() {
        return switch (this) {
            case Plain(), Surge(int _), Large() -> CallSemantics.IDEMPOTENT;
            case Once() -> CallSemantics.AT_MOST_ONCE;
            case Stream(int _), LargeStream(), Turn(int _), ForeignTurn(int _) ->
                    CallSemantics.AT_MOST_ONCE_STREAM;
            case ResumableStream(int _) -> CallSemantics.RESUMABLE_STREAM;
        };
    }

    /** Returns whether the call may run more than once. */
    default boolean mayRunAgain() {
        return semantics() == CallSemantics.IDEMPOTENT
                || semantics() == CallSemantics.RESUMABLE_STREAM;
    }
}
