package org.tamarackfold.caller;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.SessionId;

/** The metadata of a call, decoded from the head of its request. Immutable. */
public final class CallDescription {
    private final CallId id;
    private final String method;
    private final String host;
    private final String path;
    private final Option<Duration> timeout;
    private final Option<SessionId> session;
    private final Option<ProgramTurn> turn;
    private final Option<String> affinityKey;
    private final Option<Resumption> resumption;
    private final Option<CustomerName> customer;
    private final Option<Long> promptTokens;
    private final Option<Long> lengthHint;
    private final Option<Duration> programDeadline;

    private CallDescription(Builder builder) {
        this.id = Objects.requireNonNull(builder.id);
        this.method = Objects.requireNonNull(builder.method);
        this.host = Objects.requireNonNull(builder.host);
        this.path = Objects.requireNonNull(builder.path);
        this.timeout = builder.timeout;
        this.session = builder.session;
        this.turn = builder.turn;
        this.affinityKey = builder.affinityKey;
        this.resumption = builder.resumption;
        this.customer = builder.customer;
        this.promptTokens = builder.promptTokens;
        this.lengthHint = builder.lengthHint;
        this.programDeadline = builder.programDeadline;
    }

    /** Returns a builder; id, method, host and path are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the id of the call; the caller uses a new one when it retries. */
    public CallId id() {
        return id;
    }

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns the host name of the request, without the port. */
    public String host() {
        return host;
    }

    /** Returns the path of the request, without the query string. */
    public String path() {
        return path;
    }

    /** Returns how long the caller waits, from the arrival of the call; none if it does not say. */
    public Option<Duration> timeout() {
        return timeout;
    }

    /** Returns the conversation that the call belongs to, if the caller names one. */
    public Option<SessionId> session() {
        return session;
    }

    /** Returns the metadata of the turn; none for a call that is not a turn of a program. */
    public Option<ProgramTurn> turn() {
        return turn;
    }

    /**
     * Returns the affinity key, which calls that concern the same object share so that they prefer
     * the same endpoint.
     */
    public Option<String> affinityKey() {
        return affinityKey;
    }

    /** Returns which stream the call resumes; none for a call that starts anew. */
    public Option<Resumption> resumption() {
        return resumption;
    }

    /** Returns the customer that the call belongs to; none in a deployment without customers. */
    public Option<CustomerName> customer() {
        return customer;
    }

    /** Returns the new tokens of the prompt; none if the caller does not state them. */
    public Option<Long> promptTokens() {
        return promptTokens;
    }

    /** Returns the caller's estimate of the output tokens; none if it makes none. */
    public Option<Long> lengthHint() {
        return lengthHint;
    }

    /** Returns the estimate of the output tokens, or else their maximum; 0 without both. */
    public long expectedOutputTokens() {
        return lengthHint.getOrElse(() -> turn.map(ProgramTurn::maximumTokens).getOrElse(0L));
    }

    /**
     * Returns the time until the program should be finished, from the arrival of the call; none if
     * the caller does not state it.
     */
    public Option<Duration> programDeadline() {
        return programDeadline;
    }

    /** Returns a copy of this description that belongs to a customer, or to none. */
    public CallDescription withCustomer(Option<CustomerName> value) {
        return builder()
                .id(id)
                .method(method)
                .host(host)
                .path(path)
                .timeout(timeout)
                .session(session)
                .turn(turn)
                .affinityKey(affinityKey)
                .resumption(resumption)
                .customer(value)
                .promptTokens(promptTokens)
                .lengthHint(lengthHint)
                .programDeadline(programDeadline)
                .build();
    }

    /** Builds a description; the optional fields are empty unless set. */
    public static final class Builder {
        private CallId id;
        private String method;
        private String host;
        private String path;
        private Option<Duration> timeout = Option.none();
        private Option<SessionId> session = Option.none();
        private Option<ProgramTurn> turn = Option.none();
        private Option<String> affinityKey = Option.none();
        private Option<Resumption> resumption = Option.none();
        private Option<CustomerName> customer = Option.none();
        private Option<Long> promptTokens = Option.none();
        private Option<Long> lengthHint = Option.none();
        private Option<Duration> programDeadline = Option.none();

        private Builder() {}

        /** Sets the id of the call. */
        public Builder id(CallId value) {
            id = value;
            return this;
        }

        /** Sets the HTTP method. */
        public Builder method(String value) {
            method = value;
            return this;
        }

        /** Sets the host name, without the port. */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /** Sets the path, without the query string. */
        public Builder path(String value) {
            path = value;
            return this;
        }

        /** Sets how long the caller waits, from the arrival of the call. */
        public Builder timeout(Option<Duration> value) {
            timeout = value;
            return this;
        }

        /** Sets the conversation that the call belongs to. */
        public Builder session(Option<SessionId> value) {
            session = value;
            return this;
        }

        /** Sets the metadata of the turn. */
        public Builder turn(Option<ProgramTurn> value) {
            turn = value;
            return this;
        }

        /** Sets the affinity key. */
        public Builder affinityKey(Option<String> value) {
            affinityKey = value;
            return this;
        }

        /** Sets which stream the call resumes. */
        public Builder resumption(Option<Resumption> value) {
            resumption = value;
            return this;
        }

        /** Sets the customer that the call belongs to. */
        public Builder customer(Option<CustomerName> value) {
            customer = value;
            return this;
        }

        /** Sets the new tokens of the prompt. */
        public Builder promptTokens(Option<Long> value) {
            promptTokens = value;
            return this;
        }

        /** Sets the caller's estimate of the output tokens. */
        public Builder lengthHint(Option<Long> value) {
            lengthHint = value;
            return this;
        }

        /** Sets the time until the program should be finished, from the arrival of the call. */
        public Builder programDeadline(Option<Duration> value) {
            programDeadline = value;
            return this;
        }

        /**
         * Creates the description.
         *
         * @throws NullPointerException if a required field is missing
         */
        public CallDescription build() {
            return new CallDescription(this);
        }
    }
}
