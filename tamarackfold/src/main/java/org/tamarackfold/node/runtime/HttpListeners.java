package org.tamarackfold.node.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.tamarackfold.id.Address;
import org.tamarackfold.transport.IoRuntime;
import org.xnio.Options;

/** Builds the HTTP server of a host with one listener for each address. */
final class HttpListeners {
    /** Largest request head, in bytes. The limits of the release are not applied to listeners. */
    private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

    /** Timeout for receiving a request head, in milliseconds. */
    private static final int HEADER_TIMEOUT_MILLIS = 5_000;

    /**
     * Idle timeout of a connection, in milliseconds; callers reuse connections for a shorter time.
     */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    /**
     * Size of the accept queue, in connections; when it is full, new connections are delayed by
     * seconds, until the client retransmits.
     */
    private static final int BACKLOG = 1_024;

    private final Undertow.Builder builder;

    HttpListeners(IoRuntime runtime) {
        builder =
                Undertow.builder()
                        .setWorker(runtime.worker())
                        .setByteBufferPool(runtime.buffers())
                        .setSocketOption(Options.BACKLOG, BACKLOG)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.REUSE_ADDRESSES, true)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true);
    }

    HttpListeners add(Address address, HttpHandler handler) {
        builder.addHttpListener(address.port(), address.ip(), handler);
        return this;
    }

    Undertow start() {
        Undertow server = builder.build();
        server.start();
        return server;
    }
}
