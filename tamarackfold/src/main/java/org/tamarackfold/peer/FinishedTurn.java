package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ProgramId;

/** A turn whose output is complete, with the history that is to be stored. Immutable. */
public final class FinishedTurn {
    /**
     * The tokens at which the store settles the turn.
     *
     * @param program the program that has reserved tokens for the turn
     * @param tokens the number of tokens that reached the caller
     */
    public record Settlement(ProgramId program, long tokens) {}

    private final CallId call;
    private final byte[] text;
    private final Duration retention;
    private final Option<CallId> parent;
    private final Option<CustomerName> customer;
    private final Option<Settlement> settlement;

    private FinishedTurn(Builder builder) {
        this.call = Objects.requireNonNull(builder.call);
        this.text = Objects.requireNonNull(builder.text);
        this.retention = Objects.requireNonNull(builder.retention);
        this.parent = builder.parent;
        this.customer = builder.customer;
        this.settlement = builder.settlement;
    }

    /** Returns a builder; call, text and retention are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the id of the turn. */
    public CallId call() {
        return call;
    }

    /** Returns the inputs and outputs of the turn and all turns before it. */
    public byte[] text() {
        return text;
    }

    /** Returns how long the history is kept. */
    public Duration retention() {
        return retention;
    }

    /** Returns the turn that this one continues; none for the first of a conversation. */
    public Option<CallId> parent() {
        return parent;
    }

    /** Returns the customer to whom the turn belongs; none if it belongs to no customer. */
    public Option<CustomerName> customer() {
        return customer;
    }

    /** Returns how the store settles the turn; none if it is settled by a message of its own. */
    public Option<Settlement> settlement() {
        return settlement;
    }

    /** Builds a finished turn; the optional fields are empty unless set. */
    public static final class Builder {
        private CallId call;
        private byte[] text;
        private Duration retention;
        private Option<CallId> parent = Option.none();
        private Option<CustomerName> customer = Option.none();
        private Option<Settlement> settlement = Option.none();

        private Builder() {}

        /** Sets the id of the turn. */
        public Builder call(CallId value) {
            call = value;
            return this;
        }

        /** Sets the inputs and outputs of the turn and all turns before it. */
        public Builder text(byte[] value) {
            text = value;
            return this;
        }

        /** Sets how long the history is kept. */
        public Builder retention(Duration value) {
            retention = value;
            return this;
        }

        /** Sets the turn that this one continues. */
        public Builder parent(Option<CallId> value) {
            parent = value;
            return this;
        }

        /** Sets the customer to whom the turn belongs. */
        public Builder customer(Option<CustomerName> value) {
            customer = value;
            return this;
        }

        /** Sets how the store settles the turn. */
        public Builder settlement(Option<Settlement> value) {
            settlement = value;
            return this;
        }

        /**
         * Creates the finished turn.
         *
         * @throws NullPointerException if a required field is missing
         */
        public FinishedTurn build() {
            return new FinishedTurn(this);
        }
    }
}
