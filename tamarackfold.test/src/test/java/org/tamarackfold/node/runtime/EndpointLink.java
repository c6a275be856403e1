package org.tamarackfold.node.runtime;

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
import java.util.concurrent.locks.LockSupport;
import org.tamarackfold.id.Address;

/**
 * The link from one host to one endpoint: a proxy on the loopback interface that can be cut while
 * the links of other hosts hold.
 */
final class EndpointLink implements AutoCloseable {
    /** How a link is cut. */
    enum Cut {
        /** Open connections pass no bytes; new ones are neither accepted nor refused. */
        SILENT,
        /** Open connections are reset; new ones are refused. */
        RESET,
        /** Open connections go on; new ones are refused. */
        NEW_REFUSED
    }

    private static final int BACKLOG = 200;

    /** The smallest queue; the kernel drops the opening packets of further connections. */
    private static final int FULL_BACKLOG = 1;

    private static final int FILLER_TIMEOUT_MILLIS = 50;
    private static final long REBIND_PAUSE_NANOS = 1_000_000L;
    private static final long REBIND_TIMEOUT_NANOS = 2_000_000_000L;
    private static final int BLOCK_BYTES = 16 * 1024;

    private final Address target;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillers = new ArrayList<>();
    private final Object passing = new Object();
    private ServerSocket listener;
    private boolean silent;
    private boolean closed;

    EndpointLink(Address target) throws IOException {
        this.target = target;
        listener = listen(0, BACKLOG);
        port = listener.getLocalPort();
        accept();
    }

    Address address() {
        return new Address("127.0.0.1", port);
    }

    private static ServerSocket listen(int port, int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), backlog);
        return socket;
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

    /** Cuts the link; it must not be cut already. */
    void cut(Cut how) throws IOException {
        switch (how) {
            case SILENT -> silence();
            case RESET -> {
                listener.close();
                sockets.forEach(EndpointLink::reset);
            }
            case NEW_REFUSED -> listener.close();
        }
    }

    private void silence() throws IOException {
        synchronized (passing) {
            silent = true;
        }
        listener.close();
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

    /** Ends the cut. Connections that were silent pass what they have held back. */
    void restore() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        listener.close();
        listener = listenAgain(BACKLOG);
        accept();
        release();
    }

    private void release() {
        synchronized (passing) {
            silent = false;
            passing.notifyAll();
        }
    }

    private void accept() {
        ServerSocket current = listener;
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (!current.isClosed()) {
                                try {
                                    open(current.accept());
                                } catch (IOException e) {
                                    // The listener was closed, or the endpoint is gone.
                                    continue;
                                }
                            }
                        });
    }

    private void open(Socket host) throws IOException {
        Socket endpoint = new Socket();
        sockets.add(host);
        sockets.add(endpoint);
        try {
            endpoint.connect(new InetSocketAddress(target.ip(), target.port()));
        } catch (IOException e) {
            reset(host);
            throw e;
        }
        host.setTcpNoDelay(true);
        endpoint.setTcpNoDelay(true);
        Thread.ofVirtual().start(() -> copy(host, endpoint));
        Thread.ofVirtual().start(() -> copy(endpoint, host));
    }

    private void copy(Socket from, Socket to) {
        byte[] block = new byte[BLOCK_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int length = input.read(block); length >= 0; length = input.read(block)) {
                awaitPassing();
                output.write(block, 0, length);
            }
            awaitPassing();
            to.close();
            from.close();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        } finally {
            sockets.remove(from);
        }
    }

    private void awaitPassing() throws InterruptedException {
        synchronized (passing) {
            while (silent && !closed) {
                passing.wait();
            }
        }
    }

    private static void reset(Socket socket) {
        try (socket) {
            if (!socket.isClosed()) {
                socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // The other side has closed the connection; there is nothing left to reset.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        listener.close();
        synchronized (passing) {
            closed = true;
            passing.notifyAll();
        }
        sockets.forEach(EndpointLink::reset);
    }
}
