package org.tamarackfold.daemon.soak.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
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

        /**
         * Open connections hold their bytes until the condition ends; new ones are neither accepted
         * nor refused.
         */
        record Hanging() implements Condition {}

        /**
         * New connections are refused, as by a host without a listener.
         *
         * @param resetsOpen whether open connections are reset; otherwise they go on
         */
        record Closed(boolean resetsOpen) implements Condition {}

        /**
         * Some blocks of responses are replaced, and their connections closed.
         *
         * @param response what is sent instead
         * @param interval one block of so many is replaced
         */
        record Spoiled(SpoiledResponse response, int interval) implements Condition {}

        /**
         * Some heads of responses get a further line.
         *
         * @param head the line
         * @param interval one head of so many is spoiled
         */
        record SpoiledHeads(SpoiledHead head, int interval) implements Condition {}
    }

    private static final int BLOCK_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BACKLOG = 512;

    /** The smallest queue; the kernel drops the opening packets of further connections. */
    private static final int FULL_BACKLOG = 1;

    private static final int FILLER_TIMEOUT_MILLIS = 50;
    private static final long REBIND_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long REBIND_PAUSE_NANOS = 1_000_000L;

    private final Address target;
    private final int port;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    /** Connections that fill the queue of the listener while new ones hang. */
    private final List<Socket> fillers = new ArrayList<>();

    private ServerSocket listener;
    private boolean closed;
    private volatile Condition condition = new Condition.Clear();
    private volatile long lastRefusalNanos = Long.MIN_VALUE;

    /** Blocks of responses that have passed while some are spoiled. */
    private final AtomicInteger responseBlocks = new AtomicInteger();

    /** Starts a proxy at a free port of the loopback interface. */
    public LoopbackProxy(Address target) throws IOException {
        this.target = target;
        listener = listen(0, BACKLOG);
        port = listener.getLocalPort();
        startAccepting();
    }

    private static ServerSocket listen(int port, int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), backlog);
        return socket;
    }

    /** Returns the address at which the proxy accepts connections. */
    public Address address() {
        return new Address("127.0.0.1", port);
    }

    /** Returns whether the target has refused a connection since a time. */
    boolean hasRefusedSince(long nanos) {
        return lastRefusalNanos >= nanos;
    }

    /** Sets what happens to open and new connections; has no effect on a closed proxy. */
    public synchronized void set(Condition value) throws IOException {
        if (closed) {
            return;
        }
        boolean listened = isListening(condition);
        condition = value;
        notifyAll();
        switch (value) {
            case Condition.Hanging() -> hang();
            case Condition.Closed(boolean resetsOpen) -> {
                stopListening();
                if (resetsOpen) {
                    reset();
                }
            }
            case Condition.Clear(),
                    Condition.Refusing(),
                    Condition.Delayed(long _),
                    Condition.Spoiled(SpoiledResponse _, int _),
                    Condition.SpoiledHeads(SpoiledHead _, int _),
                    Condition.Silent(boolean _, boolean _) -> {
                if (!listened) {
                    stopListening();
                    listener = listenAgain(BACKLOG);
                    startAccepting();
                }
                if (value instanceof Condition.Refusing) {
                    reset();
                }
            }
        }
    }

    private static boolean isListening(Condition condition) {
        return !(condition instanceof Condition.Hanging || condition instanceof Condition.Closed);
    }

    private void hang() throws IOException {
        stopListening();
        listener = listenAgain(FULL_BACKLOG);
        boolean full = false;
        while (!full) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress("127.0.0.1", port), FILLER_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException e) {
                full = true;
            }
        }
    }

    private void stopListening() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        listener.close();
    }

    /** Binds the port again; the closed listener holds it until its accepting thread has ended. */
    private ServerSocket listenAgain(int backlog) throws IOException {
        long untilNanos = System.nanoTime() + REBIND_TIMEOUT_NANOS;
        while (true) {
            try {
                return listen(port, backlog);
            } catch (BindException e) {
                if (System.nanoTime() - untilNanos > 0) {
                    throw e;
                }
                LockSupport.parkNanos(REBIND_PAUSE_NANOS);
            }
        }
    }

    private synchronized void awaitPassing() throws InterruptedException {
        while (condition instanceof Condition.Hanging && !closed) {
            wait();
        }
    }

    /** Resets all open connections. */
    public void reset() {
        links.forEach(Link::reset);
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        notifyAll();
        stopListening();
        reset();
    }

    private void startAccepting() {
        ServerSocket current = listener;
        Thread.ofVirtual().start(() -> accept(current));
    }

    private void accept(ServerSocket current) {
        while (!current.isClosed()) {
            try {
                Socket client = current.accept();
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
                    awaitPassing();
                    if (!toServer && condition instanceof Condition.Spoiled spoiled) {
                        if (responseBlocks.incrementAndGet() % spoiled.interval() == 0) {
                            spoiled.response().writeTo(output);
                            reset();
                            return;
                        }
                    }
                    if (passes(toServer)) {
                        write(output, block, length, toServer);
                    }
                }
                awaitPassing();
                if (passes(toServer)) {
                    to.shutdownOutput();
                }
                if (endedDirections.incrementAndGet() == 2) {
                    links.remove(this);
                    from.close();
                    to.close();
                }
            } catch (IOException | InterruptedException e) {
                reset();
            }
        }

        /** Passes a block on, and spoils the head with which it begins if the condition says so. */
        private void write(OutputStream output, byte[] block, int length, boolean toServer)
                throws IOException {
            if (!toServer
                    && condition instanceof Condition.SpoiledHeads spoiled
                    && SpoiledHead.isHead(block, length)
                    && responseBlocks.incrementAndGet() % spoiled.interval() == 0) {
                output.write(spoiled.head().addTo(block, length));
                return;
            }
            output.write(block, 0, length);
        }

        /** Applies the condition; returns false when bytes of this direction are lost. */
        private boolean passes(boolean toServer) {
            switch (condition) {
                case Condition.Delayed(long millis) -> LockSupport.parkNanos(millis * 1_000_000);
                case Condition.Silent(boolean holdsToServer, boolean holdsToClient) -> {
                    silentToServer |= holdsToServer;
                    silentToClient |= holdsToClient;
                }
                case Condition.Clear(),
                        Condition.Refusing(),
                        Condition.Hanging(),
                        Condition.Spoiled(SpoiledResponse _, int _),
                        Condition.SpoiledHeads(SpoiledHead _, int _),
                        Condition.Closed(boolean _) -> {}
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
