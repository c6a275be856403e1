package org.tamarackfold.endpoint.cost;

import io.vavr.control.Option;
import java.util.Objects;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.RouteName;

/** What is known of the cost of a call before it runs. Immutable. */
public final class CallProfile {
    private final RouteName route;
    private final Option<CustomerName> customer;
    private final Option<ProgramId> program;
    private final boolean continuesProgram;
    private final Option<String> sharedPart;
    private final long promptTokens;
    private final long outputTokens;

    private CallProfile(Builder builder) {
        this.route = Objects.requireNonNull(builder.route);
        this.customer = builder.customer;
        this.program = builder.program;
        this.continuesProgram = builder.continuesProgram;
        this.sharedPart = builder.sharedPart;
        this.promptTokens = builder.promptTokens;
        this.outputTokens = builder.outputTokens;
    }

    /** Returns a builder; the route is required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the route. */
    public RouteName route() {
        return route;
    }

    /** Returns the customer of the call; none if it belongs to none. */
    public Option<CustomerName> customer() {
        return customer;
    }

    /** Returns the program whose history the endpoint keeps; none for a call without history. */
    public Option<ProgramId> program() {
        return program;
    }

    /** Returns whether the call continues a program: an earlier turn of it has run. */
    public boolean continuesProgram() {
        return continuesProgram;
    }

    /** Returns the key of the part of the prompt that other programs share; none if there is. */
    public Option<String> sharedPart() {
        return sharedPart;
    }

    /** Returns the new tokens of the prompt; 0 when the caller does not state them. */
    public long promptTokens() {
        return promptTokens;
    }

    /** Returns the expected tokens of the output; 0 when the caller does not state them. */
    public long outputTokens() {
        return outputTokens;
    }

    /** Builds a profile; the optional fields are empty unless set. */
    public static final class Builder {
        private RouteName route;
        private Option<CustomerName> customer = Option.none();
        private Option<ProgramId> program = Option.none();
        private boolean continuesProgram;
        private Option<String> sharedPart = Option.none();
        private long promptTokens;
        private long outputTokens;

        private Builder() {}

        /** Sets the route. */
        public Builder route(RouteName value) {
            route = value;
            return this;
        }

        /** Sets the customer of the call. */
        public Builder customer(Option<CustomerName> value) {
            customer = value;
            return this;
        }

        /** Sets the program whose history the endpoint keeps. */
        public Builder program(Option<ProgramId> value) {
            program = value;
            return this;
        }

        /** Sets whether an earlier turn of the program has run. */
        public Builder continuesProgram(boolean value) {
            continuesProgram = value;
            return this;
        }

        /** Sets the key of the part of the prompt that other programs share. */
        public Builder sharedPart(Option<String> value) {
            sharedPart = value;
            return this;
        }

        /** Sets the new tokens of the prompt. */
        public Builder promptTokens(long value) {
            promptTokens = value;
            return this;
        }

        /** Sets the expected tokens of the output. */
        public Builder outputTokens(long value) {
            outputTokens = value;
            return this;
        }

        /**
         * Creates the profile.
         *
         * @throws NullPointerException if the route is missing
         */
        public CallProfile build() {
            return new CallProfile(this);
        }
    }
}
