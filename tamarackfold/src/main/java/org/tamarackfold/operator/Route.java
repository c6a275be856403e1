package org.tamarackfold.operator;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.RouteName;

/** Maps calls by host and path prefix to services, and defines how these calls are handled. */
public final class Route {
    /**
     * Default of the maximum attempts for calls that may run more than once; tolerates two
     * endpoints that fail at the same time.
     */
    private static final int DEFAULT_RETRYABLE_ATTEMPTS = 3;

    /** Latency objective of a route that sets none; no decision depends on the objective yet. */
    private static final Duration DEFAULT_TARGET_LATENCY = Duration.ofSeconds(1);

    private final RouteName name;
    private final String host;
    private final String prefix;
    private final CallSemantics callSemantics;
    private final Seq<WeightedService> services;
    private final Duration timeout;
    private final Duration targetLatency;
    private final boolean statesTargetLatency;
    private final int priority;
    private final int maximumAttempts;
    private final boolean keepsHistory;
    private final Duration retention;
    private final boolean usesTokenBudget;
    private final boolean isPublic;

    private Route(Builder builder) {
        this.name = Objects.requireNonNull(builder.name);
        this.host = Objects.requireNonNull(builder.host);
        this.prefix = Objects.requireNonNull(builder.prefix);
        this.callSemantics = Objects.requireNonNull(builder.callSemantics);
        this.services = builder.services;
        this.timeout = builder.timeout;
        this.targetLatency = builder.targetLatency.getOrElse(DEFAULT_TARGET_LATENCY);
        this.statesTargetLatency = builder.targetLatency.isDefined();
        this.priority = builder.priority;
        this.maximumAttempts =
                builder.maximumAttempts.getOrElse(defaultAttempts(builder.callSemantics));
        this.keepsHistory = builder.keepsHistory;
        this.retention = builder.retention;
        this.usesTokenBudget = builder.usesTokenBudget;
        this.isPublic = builder.isPublic;
    }

    private static int defaultAttempts(CallSemantics callSemantics) {
        return callSemantics.isRetryable() ? DEFAULT_RETRYABLE_ATTEMPTS : 1;
    }

    /** Returns a builder; name, host, prefix and call semantics are mandatory. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the name. */
    public RouteName name() {
        return name;
    }

    /** Returns the host that callers address, in lower case and without port. */
    public String host() {
        return host;
    }

    /** Returns the path prefix, which begins and ends with a slash. */
    public String prefix() {
        return prefix;
    }

    /** Returns whether its calls may run more than once, and whether they are streams. */
    public CallSemantics callSemantics() {
        return callSemantics;
    }

    /** Returns the services among which the calls are distributed by weight. */
    public Seq<WeightedService> services() {
        return services;
    }

    /** Returns the timeout of a call; a shorter deadline of the caller takes precedence. */
    public Duration timeout() {
        return timeout;
    }

    /** Returns the latency objective. */
    public Duration targetLatency() {
        return targetLatency;
    }

    /** Returns whether the latency objective is stated instead of the default. */
    public boolean statesTargetLatency() {
        return statesTargetLatency;
    }

    /** Returns the priority; 0 is the highest. */
    public int priority() {
        return priority;
    }

    /** Returns the maximum number of endpoints that may run one call. */
    public int maximumAttempts() {
        return maximumAttempts;
    }

    /** Returns whether turns carry only their new input, and the storage hosts keep the history. */
    public boolean keepsHistory() {
        return keepsHistory;
    }

    /** Returns how long the history of a turn is retained. */
    public Duration retention() {
        return retention;
    }

    /** Returns whether its calls are turns of programs, charged to a token budget. */
    public boolean usesTokenBudget() {
        return usesTokenBudget;
    }

    /** Returns whether callers need no key although the release has customers. */
    public boolean isPublic() {
        return isPublic;
    }

    /** Builder of a route. */
    public static final class Builder {
        private RouteName name;
        private String host;
        private String prefix;
        private CallSemantics callSemantics;
        private Seq<WeightedService> services = Vector.empty();
        private Duration timeout = Duration.ofSeconds(30);
        private Option<Duration> targetLatency = Option.none();
        private int priority;
        private Option<Integer> maximumAttempts = Option.none();
        private boolean keepsHistory;
        private Duration retention = Duration.ZERO;
        private boolean usesTokenBudget;
        private boolean isPublic;

        private Builder() {}

        /** Sets the name. */
        public Builder name(RouteName value) {
            name = value;
            return this;
        }

        /** Sets the host; the case is ignored. */
        public Builder host(String value) {
            host = value.toLowerCase(java.util.Locale.ROOT);
            return this;
        }

        /** Sets the path prefix, which begins and ends with a slash. */
        public Builder prefix(String value) {
            prefix = value;
            return this;
        }

        /** Sets whether calls may run more than once, and whether they are streams. */
        public Builder callSemantics(CallSemantics value) {
            callSemantics = value;
            return this;
        }

        /** Sets the services among which the calls are distributed. */
        public Builder services(Seq<WeightedService> value) {
            services = value;
            return this;
        }

        /** Sets the timeout of a call; 30 s by default. */
        public Builder timeout(Duration value) {
            timeout = value;
            return this;
        }

        /** Sets the latency objective; 1 s by default. */
        public Builder targetLatency(Option<Duration> value) {
            targetLatency = value;
            return this;
        }

        /** Sets the priority; 0, the highest, by default. */
        public Builder priority(int value) {
            priority = value;
            return this;
        }

        /**
         * Sets the maximum number of endpoints that may run a call; none selects the default for
         * the call semantics.
         */
        public Builder maximumAttempts(Option<Integer> value) {
            maximumAttempts = value;
            return this;
        }

        /** Sets whether the storage hosts keep the history of turns. */
        public Builder keepsHistory(boolean value) {
            keepsHistory = value;
            return this;
        }

        /** Sets how long the history of a turn is retained. */
        public Builder retention(Duration value) {
            retention = value;
            return this;
        }

        /** Sets whether calls are turns of programs, charged to a token budget. */
        public Builder usesTokenBudget(boolean value) {
            usesTokenBudget = value;
            return this;
        }

        /** Sets whether callers need no key although the release has customers. */
        public Builder isPublic(boolean value) {
            isPublic = value;
            return this;
        }

        /** Creates the route. */
        public Route build() {
            return new Route(this);
        }
    }
}
