package org.tamarackfold.transport;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.id.Address;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The HTTP listeners of a process, one for each address, with their connections. All requests pass
 * {@link RequestInputConduit} before Undertow parses them. Used instead of the server class of
 * Undertow, which leaves the connections open when it stops.
 */
public final class HttpListeners {
    /** Largest request head, in bytes. The limits of the release are not applied to listeners. */
    private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

    /**
     * No limit of bodies: handlers have their own. That of Undertow is 2 MB, counts the framing of
     * chunks, and closes the connection before the request can be answered.
     */
    private static final long UNLIMITED = -1;

    /** Bytes of the shortest parameter of a query, "a&". */
    private static final int SHORTEST_PARAMETER_BYTES = 2;

    /** Bytes of the shortest field, a name of one character with its colon and line end. */
    private static final int SHORTEST_FIELD_BYTES = 4;

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

    private static final OptionMap SOCKET_OPTIONS =
            OptionMap.builder()
                    .set(Options.BACKLOG, BACKLOG)
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .getMap();

    private static final OptionMap SERVER_OPTIONS =
            OptionMap.builder()
                    .set(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                    .set(
                            UndertowOptions.MAX_PARAMETERS,
                            MAXIMUM_HEADER_BYTES / SHORTEST_PARAMETER_BYTES)
                    .set(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADER_BYTES / SHORTEST_FIELD_BYTES)
                    .set(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
                    .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
                    .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                    .set(UndertowOptions.DECODE_URL, false)
                    .set(UndertowOptions.ALWAYS_SET_DATE, false)
                    .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                    .getMap();

    /** Time without a byte of a body after which the rest is not expected any more. */
    static final Duration BODY_TIMEOUT = Duration.ofSeconds(60);

    private final IoRuntime runtime;
    private final Duration bodyTimeout;
    private final Runnable onMalformed;
    private final List<HttpOpenListener> openListeners = new ArrayList<>();
    private final List<AcceptingChannel<StreamConnection>> acceptingChannels = new ArrayList<>();

    /**
     * Creates a set without listeners.
     *
     * @param onMalformed called on I/O threads for each request outside of the grammar of HTTP
     */
    public HttpListeners(IoRuntime runtime, Runnable onMalformed) {
        this(runtime, BODY_TIMEOUT, onMalformed);
    }

    HttpListeners(IoRuntime runtime, Duration bodyTimeout, Runnable onMalformed) {
        this.runtime = runtime;
        this.bodyTimeout = bodyTimeout;
        this.onMalformed = onMalformed;
    }

    /**
     * Binds an address; connections are accepted from {@link #start} on.
     *
     * @throws IOException when the address cannot be bound
     */
    public HttpListeners add(Address address, HttpHandler handler) throws IOException {
        HttpOpenListener openListener = new HttpOpenListener(runtime.buffers(), SERVER_OPTIONS);
        openListener.setRootHandler(RequestInput.marking(handler));
        openListeners.add(openListener);
        acceptingChannels.add(
                runtime.worker()
                        .createStreamConnectionServer(
                                new InetSocketAddress(address.ip(), address.port()),
                                ChannelListeners.openListenerAdapter(checking(openListener)),
                                SOCKET_OPTIONS));
        return this;
    }

    private ChannelListener<StreamConnection> checking(HttpOpenListener openListener) {
        return connection -> {
            RequestInputConduit.install(connection, runtime.buffers(), bodyTimeout, onMalformed);
            openListener.handleEvent(connection);
        };
    }

    /** Accepts connections from now on. */
    public HttpListeners start() {
        acceptingChannels.forEach(AcceptingChannel::resumeAccepts);
        return this;
    }

    /**
     * Closes the listeners, then each connection on its I/O thread, so that a request that the
     * thread is reading is still answered if its handler responds at once.
     */
    public void stop() {
        acceptingChannels.forEach(IoUtils::safeClose);
        openListeners.forEach(HttpOpenListener::closeConnections);
    }
}
