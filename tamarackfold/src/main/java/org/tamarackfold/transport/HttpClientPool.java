package org.tamarackfold.transport;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tamarackfold.id.Address;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * HTTP client with reused connections. A connection belongs to one I/O thread and is used by that
 * thread only, so the pool of a thread needs no lock.
 */
public final class HttpClientPool {
    /** Idle connections kept for each peer and I/O thread; more are closed. */
    private static final int MAXIMUM_IDLE = 32;

    private final IoRuntime runtime;
    private final long defaultIdleNanos;
    private final Map<XnioIoThread, ThreadPool> pools = new ConcurrentHashMap<>();

    /**
     * Creates a pool.
     *
     * @param runtime the I/O threads
     * @param defaultIdleNanos how long an idle connection is reused when the peer does not say, in
     *     ns
     */
    public HttpClientPool(IoRuntime runtime, long defaultIdleNanos) {
        this.runtime = runtime;
        this.defaultIdleNanos = defaultIdleNanos;
    }

    /** Sends a request; may be called from any thread. The listener runs on an I/O thread. */
    public ExchangeHandle send(HttpRequest request, ResponseListener listener) {
        XnioIoThread thread = runtime.thread();
        ThreadPool pool = pools.computeIfAbsent(thread, unused -> new ThreadPool());
        HttpExchange exchange = new HttpExchange(this, runtime, pool, thread, request, listener);
        if (Thread.currentThread() == thread) {
            exchange.start();
        } else {
            thread.execute(exchange::start);
        }
        return exchange;
    }

    /** Closes idle connections to a peer, because one of them has turned out to be dead. */
    public void discardIdle(Address address) {
        pools.forEach((thread, pool) -> thread.execute(() -> pool.discard(address)));
    }

    long defaultIdleNanos() {
        return defaultIdleNanos;
    }

    /** The idle connections of one I/O thread. */
    static final class ThreadPool {
        private final Map<Address, Deque<Idle>> idle = new HashMap<>();

        private record Idle(ClientConnection connection, long expiresAt) {
            boolean isUsable(long now) {
                return expiresAt - now > 0 && connection.isOpen();
            }
        }

        /** Takes the connection used last, so that surplus ones expire; null when none is left. */
        ClientConnection take(Address address, long now) {
            Deque<Idle> queue = idle.get(address);
            if (queue == null) {
                return null;
            }
            ClientConnection found = null;
            while (found == null && !queue.isEmpty()) {
                Idle candidate = queue.pollLast();
                if (candidate.isUsable(now)) {
                    found = candidate.connection;
                } else {
                    IoUtils.safeClose(candidate.connection);
                }
            }
            if (queue.isEmpty()) {
                idle.remove(address);
            }
            return found;
        }

        void put(Address address, ClientConnection connection, long expiresAt, long now) {
            Deque<Idle> queue = idle.computeIfAbsent(address, unused -> new ArrayDeque<>());
            closeExpired(queue, now);
            if (queue.size() >= MAXIMUM_IDLE) {
                IoUtils.safeClose(connection);
                return;
            }
            queue.addLast(new Idle(connection, expiresAt));
        }

        void discard(Address address) {
            Deque<Idle> queue = idle.remove(address);
            if (queue != null) {
                queue.forEach(entry -> IoUtils.safeClose(entry.connection));
            }
        }

        private static void closeExpired(Deque<Idle> queue, long now) {
            Iterator<Idle> iterator = queue.iterator();
            while (iterator.hasNext()) {
                Idle candidate = iterator.next();
                if (candidate.isUsable(now)) {
                    continue;
                }
                IoUtils.safeClose(candidate.connection);
                iterator.remove();
            }
        }
    }
}
