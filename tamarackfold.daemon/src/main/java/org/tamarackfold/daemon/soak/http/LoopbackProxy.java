package org.tamarackfold.daemon.soak.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.tamarackfold.id.Address;

/**
 * TCP proxy that delays, resets or silences the connections to one address. Two virtual threads
 * copy the bytes of a connection.
 */
public final class LoopbackProxy implements AutoCloseable {
    /** What happens to the bytes. */
    public sealed interface Condition {
        /** Bytes pass. */
        record Clear() implements Condition {}

        /**
         * Bytes pass after a delay.
         *
         * @param millis the delay of each block of bytes, in milliseconds
         */
        record Delayed(long millis) implements Condition {}

        /**
         * Connections stop passing bytes for good, also after the condition has ended.
         *
         * @param toServer whether requests are held
         * @param toClient whether responses are held
         */
        record Silent(boolean toServer, boolean toClient) implements Condition {}

        /** Connections are reset, new ones too. */
        record Refusing() implements Condition {}
    }

    private static final int BLOCK_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BACKLOG = 512;

    private final Address target;
    private final ServerSocket listener;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile Condition condition = new Condition.Clear();
    private volatile long lastRefusalNanos = Long.MIN_VALUE;

    /** Starts a proxy at a free port of the loopback interface. */
    public LoopbackProxy(Address target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the address at which the proxy accepts connections. */
    public Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    /** Returns whether the target has refused a connection since a time. */
    boolean hasRefusedSince(long nanos) {
        return lastRefusalNanos >= nanos;
    }

    /** Sets what happens to open and new connections. */
    public void set(Condition value) {
        condition = value;
        if (value instanceof Condition.Refusing) {
            reset();
        }
    }

    /** Resets all open connections. */
    public void reset() {
        links.forEach(Link::reset);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Thread.ofVirtual().start(() -> new Link(client).open());
            } catch (IOException e) {
                // The listener was closed; the loop ends.
            }
        }
    }

    /** A connection with its two directions. */
    private final class Link {
        private final Socket client;
        private final Socket server = new Socket();
        private final AtomicInteger endedDirections = new AtomicInteger();
        private volatile boolean silentToServer;
        private volatile boolean silentToClient;

        Link(Socket client) {
            this.client = client;
        }

        void open() {
            links.add(this);
            try {
                if (condition instanceof Condition.Refusing) {
                    reset();
                    return;
                }
                connect();
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> copy(server, client, false));
                copy(client, server, true);
            } catch (IOException e) {
                reset();
            }
        }

        private void connect() throws IOException {
            try {
                server.connect(
                        new InetSocketAddress(target.ip(), target.port()), CONNECT_TIMEOUT_MILLIS);
            } catch (IOException e) {
                lastRefusalNanos = System.nanoTime();
                throw e;
            }
        }

        /** Copies bytes until the end of input, which is passed on, or until a fault. */
        private void copy(Socket from, Socket to, boolean toServer) {
            byte[] block = new byte[BLOCK_BYTES];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                for (int length = input.read(block); length >= 0; length = input.read(block)) {
                    if (passes(toServer)) {
                        output.write(block, 0, length);
                    }
                }
                if (passes(toServer)) {
                    to.shutdownOutput();
                }
                if (endedDirections.incrementAndGet() == 2) {
                    links.remove(this);
                    from.close();
                    to.close();
                }
            } catch (IOException e) {
                reset();
            }
        }

        /** Applies the condition; returns false when bytes of this direction are lost. */
        private boolean passes(boolean toServer) {
            switch (condition) {
                case Condition.Delayed(long millis) -> LockSupport.parkNanos(millis * 1_000_000);
                case Condition.Silent(boolean holdsToServer, boolean holdsToClient) -> {
                    silentToServer |= holdsToServer;
                    silentToClient |= holdsToClient;
                }
                case Condition.Clear(), Condition.Refusing() -> {}
            }
            return toServer ? !silentToServer : !silentToClient;
        }

        void reset() {
            links.remove(this);
            close(client);
            close(server);
        }

        private static void close(Socket socket) {
            try (socket) {
                if (!socket.isClosed()) {
                    socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
            } catch (IOException e) {
                // The peer has closed the connection; there is nothing left to reset.
            }
        }
    }
}
