package org.tamarackfold.transport;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.tamarackfold.id.Address;
import org.xnio.XnioIoThread;

/**
 * HTTP client that keeps idle connections for reuse. Each I/O thread has a connection pool of its
 * own, which only that thread uses, so the pools need no lock.
 */
public final class PooledHttpClient {
    /** For each server and I/O thread; further connections are closed after use. */
    private static final int MAXIMUM_IDLE_CONNECTIONS = 32;

    private final IoRuntime runtime;
    private final long defaultIdleTimeoutNanos;
    private final Map<XnioIoThread, ConnectionPool> pools = new ConcurrentHashMap<>();

    /**
     * Creates a client without open connections.
     *
     * @param runtime the I/O threads
     * @param defaultIdleTimeoutNanos how long an idle connection may be reused when the server
     *     sends no Keep-Alive timeout, in ns
     */
    public PooledHttpClient(IoRuntime runtime, long defaultIdleTimeoutNanos) {
        this.runtime = runtime;
        this.defaultIdleTimeoutNanos = defaultIdleTimeoutNanos;
    }

    /** Sends a request. May be called from any thread; the listener is called on an I/O thread. */
    public ExchangeHandle send(HttpRequest request, ResponseListener listener) {
        XnioIoThread thread = runtime.ioThread();
        ConnectionPool pool = pools.computeIfAbsent(thread, unused -> new ConnectionPool());
        HttpExchange exchange = new HttpExchange(this, runtime, pool, thread, request, listener);
        if (Thread.currentThread() == thread) {
            exchange.start();
        } else {
            thread.execute(exchange::start);
        }
        return exchange;
    }

    /**
     * Opens a connection and closes it without sending a request, to find out whether the server
     * can be reached. May be called from any thread.
     *
     * @param result receives why no connection was opened, none if one was, once, on an I/O thread
     */
    public void testConnection(
            Address address, Duration timeout, Consumer<Option<ConnectFailure>> result) {
        XnioIoThread thread = runtime.ioThread();
        ConnectionAttempt attempt =
                new ConnectionAttempt(
                        runtime,
                        thread,
                        opened -> {
                            opened.peek(ServerConnection::close);
                            result.accept(opened.swap().toOption());
                        });
        thread.execute(() -> attempt.start(address, timeout));
    }

    /**
     * Closes the idle connections to a server, for use after one connection has proved dead. May be
     * called from any thread; the connections are closed asynchronously.
     */
    public void closeIdleConnections(Address address) {
        pools.forEach((thread, pool) -> thread.execute(() -> pool.closeAll(address)));
    }

    long defaultIdleTimeoutNanos() {
        return defaultIdleTimeoutNanos;
    }

    /** The idle connections of one I/O thread. */
    static final class ConnectionPool {
        private final Map<Address, Deque<IdleConnection>> connectionsByServer = new HashMap<>();

        private record IdleConnection(ServerConnection connection, long expiresAtNanos) {
            boolean isUsable(long nowNanos) {
                return expiresAtNanos - nowNanos > 0 && connection.isOpen();
            }
        }

        /**
         * Removes and returns the most recently used connection that is usable, or null. The least
         * recently used ones thus expire first. Each one is read from, because the thread may not
         * have looked at it since its server closed it.
         */
        ServerConnection acquire(Address address, long nowNanos) {
            Deque<IdleConnection> connections = connectionsByServer.get(address);
            if (connections == null) {
                return null;
            }
            ServerConnection connection = null;
            while (connection == null && !connections.isEmpty()) {
                IdleConnection candidate = connections.pollLast();
                if (candidate.isUsable(nowNanos)
                        && !candidate.connection.responseInput().hasUnexpectedInput()) {
                    connection = candidate.connection;
                } else {
                    candidate.connection.close();
                }
            }
            if (connections.isEmpty()) {
                connectionsByServer.remove(address);
            }
            return connection;
        }

        void release(
                Address address, ServerConnection connection, long expiresAtNanos, long nowNanos) {
            Deque<IdleConnection> connections =
                    connectionsByServer.computeIfAbsent(address, unused -> new ArrayDeque<>());
            closeExpired(connections, nowNanos);
            if (connections.size() >= MAXIMUM_IDLE_CONNECTIONS) {
                connection.close();
                return;
            }
            connections.addLast(new IdleConnection(connection, expiresAtNanos));
        }

        void closeAll(Address address) {
            Deque<IdleConnection> connections = connectionsByServer.remove(address);
            if (connections != null) {
                connections.forEach(idleConnection -> idleConnection.connection.close());
            }
        }

        private static void closeExpired(Deque<IdleConnection> connections, long nowNanos) {
            Iterator<IdleConnection> iterator = connections.iterator();
            while (iterator.hasNext()) {
                IdleConnection idleConnection = iterator.next();
                if (idleConnection.isUsable(nowNanos)) {
                    continue;
                }
                idleConnection.connection.close();
                iterator.remove();
            }
        }
    }
}
