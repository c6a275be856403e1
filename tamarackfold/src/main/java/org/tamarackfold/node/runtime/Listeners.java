package org.tamarackfold.node.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.tamarackfold.id.Address;
import org.tamarackfold.transport.IoRuntime;
import org.xnio.Options;

/** Collects the HTTP listeners of a host. */
final class Listeners {
    /** Largest request head, in bytes; releases limit callers to less. */
    private static final int HEADER_BYTES = 64 * 1024;

    /** Longest time to send a request head, in milliseconds. */
    private static final int HEADER_TIMEOUT_MILLIS = 5_000;

    /** Time after which an idle connection is closed, in milliseconds; callers reuse for less. */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    /** New connections that the kernel queues; a full queue delays callers by seconds. */
    private static final int BACKLOG = 1_024;

    private final Undertow.Builder builder;

    Listeners(IoRuntime runtime) {
        builder =
                Undertow.builder()
                        .setWorker(runtime.worker())
                        .setByteBufferPool(runtime.buffers())
                        .setSocketOption(Options.BACKLOG, BACKLOG)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.REUSE_ADDRESSES, true)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HEADER_BYTES)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true);
    }

    Listeners add(Address address, HttpHandler handler) {
        builder.addHttpListener(address.port(), address.ip(), handler);
        return this;
    }

    Undertow start() {
        Undertow server = builder.build();
        server.start();
        return server;
    }
}
