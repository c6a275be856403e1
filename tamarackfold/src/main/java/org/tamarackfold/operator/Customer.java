package org.tamarackfold.operator;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Objects;
import org.tamarackfold.id.ApiKey;
import org.tamarackfold.id.CustomerName;

/** A customer as a release defines it. Immutable. */
public final class Customer {
    private final CustomerName name;
    private final Seq<ApiKey> keys;
    private final Option<Integer> priority;
    private final Option<CallLimit> limit;
    private final boolean hasBurstWithoutRate;

    private Customer(Builder builder) {
        this.name = Objects.requireNonNull(builder.name);
        this.keys = builder.keys;
        this.priority = builder.priority;
        this.limit = builder.limit;
        this.hasBurstWithoutRate = builder.hasBurstWithoutRate;
    }

    /** Returns a builder; the name is required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the name, unique in a release. */
    public CustomerName name() {
        return name;
    }

    /** Returns the keys; each of them identifies this customer. */
    public Seq<ApiKey> keys() {
        return keys;
    }

    /** Returns the priority, which takes precedence over that of the route; 0 is the highest. */
    public Option<Integer> priority() {
        return priority;
    }

    /** Returns the limit of its calls; none if they are not limited. */
    public Option<CallLimit> limit() {
        return limit;
    }

    /** Returns whether a burst is stated that has no effect, because no rate is stated. */
    public boolean hasBurstWithoutRate() {
        return hasBurstWithoutRate;
    }

    /** Builds a customer without keys, priority and limit unless they are set. */
    public static final class Builder {
        private CustomerName name;
        private Seq<ApiKey> keys = Vector.empty();
        private Option<Integer> priority = Option.none();
        private Option<CallLimit> limit = Option.none();
        private boolean hasBurstWithoutRate;

        private Builder() {}

        /** Sets the name. */
        public Builder name(CustomerName value) {
            name = value;
            return this;
        }

        /** Sets the keys. */
        public Builder keys(Seq<ApiKey> value) {
            keys = value;
            return this;
        }

        /** Sets the priority. */
        public Builder priority(Option<Integer> value) {
            priority = value;
            return this;
        }

        /** Sets the limit. */
        public Builder limit(Option<CallLimit> value) {
            limit = value;
            return this;
        }

        /** Sets whether a burst is stated without a rate. */
        public Builder hasBurstWithoutRate(boolean value) {
            hasBurstWithoutRate = value;
            return this;
        }

        /**
         * Creates the customer.
         *
         * @throws NullPointerException if the name is missing
         */
        public Customer build() {
            return new Customer(this);
        }
    }
}
