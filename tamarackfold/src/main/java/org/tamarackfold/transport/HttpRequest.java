package org.tamarackfold.transport;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.Address;

/** An HTTP request with its body in memory, for {@link PooledHttpClient}. */
public final class HttpRequest {
    private static final byte[] EMPTY_BODY = {};

    private final Address address;
    private final HttpString method;
    private final String path;
    private final HeaderMap headers;
    private final byte[] body;
    private final Duration connectTimeout;
    private final Option<Duration> responseTimeout;

    private HttpRequest(Builder builder) {
        this.address = Objects.requireNonNull(builder.address);
        this.method = builder.method;
        this.path = Objects.requireNonNull(builder.path);
        this.headers = builder.headers;
        this.body = builder.body;
        this.connectTimeout = builder.connectTimeout;
        this.responseTimeout = builder.responseTimeout;
    }

    /** Returns a builder; address and path must be set. */
    public static Builder builder() {
        return new Builder();
    }

    Address address() {
        return address;
    }

    HttpString method() {
        return method;
    }

    String path() {
        return path;
    }

    HeaderMap headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    Duration connectTimeout() {
        return connectTimeout;
    }

    /** Returns the timeout of the response; none when the sender cancels the exchange itself. */
    Option<Duration> responseTimeout() {
        return responseTimeout;
    }

    /** Collects the parts of a request. */
    public static final class Builder {
        private Address address;
        private HttpString method = new HttpString("GET");
        private String path;
        private HeaderMap headers = new HeaderMap();
        private byte[] body = EMPTY_BODY;
        private Duration connectTimeout = Duration.ofSeconds(1);
        private Option<Duration> responseTimeout = Option.some(Duration.ofSeconds(1));

        private Builder() {}

        /** Sets the address of the server. */
        public Builder address(Address value) {
            address = value;
            return this;
        }

        /** Sets the method; GET by default. */
        public Builder method(HttpString value) {
            method = value;
            return this;
        }

        /** Sets the path with the query. */
        public Builder path(String value) {
            path = value;
            return this;
        }

        /** Sets the headers; the client sets Content-Length, and Host when it is missing. */
        public Builder headers(HeaderMap value) {
            headers = value;
            return this;
        }

        /** Sets the body; empty by default. The array is not copied. */
        public Builder body(byte[] value) {
            body = value;
            return this;
        }

        /** Sets the timeout for opening a connection; 1 s by default. */
        public Builder connectTimeout(Duration value) {
            connectTimeout = value;
            return this;
        }

        /** Sets the timeout from sending the request to the end of the response; 1 s by default. */
        public Builder responseTimeout(Duration value) {
            responseTimeout = Option.some(value);
            return this;
        }

        /**
         * Removes the timeout of the response, for a sender that has a timer of its own and cancels
         * the exchange.
         */
        public Builder withoutResponseTimeout() {
            responseTimeout = Option.none();
            return this;
        }

        /**
         * Creates the request.
         *
         * @throws NullPointerException when address or path is not set
         */
        public HttpRequest build() {
            return new HttpRequest(this);
        }
    }
}
