package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.RequestFingerprint;

/**
 * A call that one entry host asks another to send to an endpoint, because it cannot reach the
 * endpoint itself. The sender stays responsible for the call: it has selected the endpoint, holds
 * the reservation of tokens and decides about retries. Immutable.
 */
public final class ForwardedCall {
    /** One header line. */
    public record Header(String name, String value) {}

    private final CallId id;
    private final EndpointId endpoint;
    private final String method;
    private final String pathAndQuery;
    private final Seq<Header> headers;
    private final byte[] body;
    private final Duration remainingTime;
    private final boolean retryable;
    private final Option<RequestFingerprint> fingerprint;

    private ForwardedCall(Builder builder) {
        this.id = Objects.requireNonNull(builder.id);
        this.endpoint = Objects.requireNonNull(builder.endpoint);
        this.method = Objects.requireNonNull(builder.method);
        this.pathAndQuery = Objects.requireNonNull(builder.pathAndQuery);
        this.headers = Objects.requireNonNull(builder.headers);
        this.body = Objects.requireNonNull(builder.body);
        this.remainingTime = Objects.requireNonNull(builder.remainingTime);
        this.retryable = builder.retryable;
        this.fingerprint = builder.fingerprint;
    }

    /** Returns a builder; all parts but the last two are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the id of the call. */
    public CallId id() {
        return id;
    }

    /** Returns the endpoint that must receive the call, and no other. */
    public EndpointId endpoint() {
        return endpoint;
    }

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns the path with the query. */
    public String pathAndQuery() {
        return pathAndQuery;
    }

    /** Returns the end-to-end headers of the call. */
    public Seq<Header> headers() {
        return headers;
    }

    /** Returns the body; not copied. */
    public byte[] body() {
        return body;
    }

    /** Returns how long the sender waits. */
    public Duration remainingTime() {
        return remainingTime;
    }

    /** Returns whether the sender can retry the call although the endpoint may have run it. */
    public boolean isRetryable() {
        return retryable;
    }

    /** Returns what identifies the request as its caller sent it; none if the sender is older. */
    public Option<RequestFingerprint> fingerprint() {
        return fingerprint;
    }

    /** Collects the parts of a forwarded call. */
    public static final class Builder {
        private CallId id;
        private EndpointId endpoint;
        private String method;
        private String pathAndQuery;
        private Seq<Header> headers;
        private byte[] body;
        private Duration remainingTime;
        private boolean retryable;
        private Option<RequestFingerprint> fingerprint = Option.none();

        private Builder() {}

        /** Sets the id of the call. */
        public Builder id(CallId value) {
            id = value;
            return this;
        }

        /** Sets the endpoint that must receive the call. */
        public Builder endpoint(EndpointId value) {
            endpoint = value;
            return this;
        }

        /** Sets the HTTP method. */
        public Builder method(String value) {
            method = value;
            return this;
        }

        /** Sets the path with the query. */
        public Builder pathAndQuery(String value) {
            pathAndQuery = value;
            return this;
        }

        /** Sets the end-to-end headers. */
        public Builder headers(Seq<Header> value) {
            headers = value;
            return this;
        }

        /** Sets the body, which is not copied. */
        public Builder body(byte[] value) {
            body = value;
            return this;
        }

        /** Sets how long the sender waits. */
        public Builder remainingTime(Duration value) {
            remainingTime = value;
            return this;
        }

        /** Sets whether the sender can retry the call although it may have run; false if unset. */
        public Builder retryable(boolean value) {
            retryable = value;
            return this;
        }

        /** Sets what identifies the request as its caller sent it; none if unset. */
        public Builder fingerprint(Option<RequestFingerprint> value) {
            fingerprint = value;
            return this;
        }

        /**
         * Creates the call.
         *
         * @throws NullPointerException when a required part is missing
         */
        public ForwardedCall build() {
            return new ForwardedCall(this);
        }
    }
}
