package org.tamarackfold.caller;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.SessionId;

/** A call as its caller described it. */
public final class CallDescription {
    private final CallId id;
    private final String method;
    private final String host;
    private final String path;
    private final Option<Duration> deadline;
    private final Option<SessionId> session;
    private final Option<ProgramTurn> turn;
    private final Option<String> affinity;

    private CallDescription(Builder builder) {
        this.id = Objects.requireNonNull(builder.id);
        this.method = Objects.requireNonNull(builder.method);
        this.host = Objects.requireNonNull(builder.host);
        this.path = Objects.requireNonNull(builder.path);
        this.deadline = builder.deadline;
        this.session = builder.session;
        this.turn = builder.turn;
        this.affinity = builder.affinity;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the id of this attempt of the caller. */
    public CallId id() {
        return id;
    }

    /** Returns the method. */
    public String method() {
        return method;
    }

    /** Returns the host that the caller addressed, without port. */
    public String host() {
        return host;
    }

    /** Returns the path without query. */
    public String path() {
        return path;
    }

    /** Returns how long the caller waits, counted from the arrival of the call. */
    public Option<Duration> deadline() {
        return deadline;
    }

    /** Returns the conversation. */
    public Option<SessionId> session() {
        return session;
    }

    /** Returns the turn of a program that this call is. */
    public Option<ProgramTurn> turn() {
        return turn;
    }

    /** Returns the value that calls concerning the same object share. */
    public Option<String> affinity() {
        return affinity;
    }

    /** Builds a description. */
    public static final class Builder {
        private CallId id;
        private String method;
        private String host;
        private String path;
        private Option<Duration> deadline = Option.none();
        private Option<SessionId> session = Option.none();
        private Option<ProgramTurn> turn = Option.none();
        private Option<String> affinity = Option.none();

        private Builder() {}

        /** Sets the id. */
        public Builder id(CallId value) {
            id = value;
            return this;
        }

        /** Sets the method. */
        public Builder method(String value) {
            method = value;
            return this;
        }

        /** Sets the host. */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /** Sets the path. */
        public Builder path(String value) {
            path = value;
            return this;
        }

        /** Sets the deadline. */
        public Builder deadline(Option<Duration> value) {
            deadline = value;
            return this;
        }

        /** Sets the conversation. */
        public Builder session(Option<SessionId> value) {
            session = value;
            return this;
        }

        /** Sets the turn. */
        public Builder turn(Option<ProgramTurn> value) {
            turn = value;
            return this;
        }

        /** Sets the affinity value. */
        public Builder affinity(Option<String> value) {
            affinity = value;
            return this;
        }

        /** Creates the description. */
        public CallDescription build() {
            return new CallDescription(this);
        }
    }
}
