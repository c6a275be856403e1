package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine: echoes the id of each request, signs its answers, and answers 421 to a request that
 * expects another engine. What it does with a request is up to its behaviour.
 */
public final class Engine implements AutoCloseable {
    /** Runs a request; returns whether the connection stays open. */
    public interface Behaviour {
        boolean run(Engine engine, Rig.Message request, OutputStream out)
                throws IOException, InterruptedException;
    }

    public final String id;
    public final String service;
    public final int port;
    public final long born = System.currentTimeMillis();
    public final AtomicInteger runs = new AtomicInteger();
    private final Rig rig;
    private final ServerSocket socket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile Behaviour behaviour;
    private boolean crashed;

    public Engine(Rig rig, String id, String service, Behaviour behaviour) throws IOException {
        this(rig, id, service, Rig.freePort(), behaviour);
    }

    public Engine(Rig rig, String id, String service, int port, Behaviour behaviour)
            throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        this.port = socket.getLocalPort();
        Thread.ofVirtual().start(this::accept);
    }

    /** Registers the engine as ready. */
    public Engine register(String zone) {
        rig.platform.register(id, service, port, zone, "ready", born);
        return this;
    }

    public void behave(Behaviour next) {
        behaviour = next;
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            boolean open = true;
            while (open) {
                Rig.Message request = Rig.Http.read(in, false);
                if (request == null) {
                    return;
                }
                open = answer(request, out);
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private boolean answer(Rig.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String expected = request.header("X-Tamarackfold-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            reject(request, out, "421 Misdirected Request", "");
            return true;
        }
        if (request.header("X-Tamarackfold-Request-Id") == null) {
            reject(request, out, "400 Bad Request", "X-Tamarackfold-Not-Executed: 1\r\n");
            return true;
        }
        runs.incrementAndGet();
        return behaviour.run(this, request, out);
    }

    private void reject(Rig.Message request, OutputStream out, String status, String extra)
            throws IOException {
        String head =
                "HTTP/1.1 %s\r\nX-Tamarackfold-Instance-Id: %s\r\n%s%sContent-Length: 0\r\n\r\n"
                        .formatted(status, id, echo(request), extra);
        Rig.Http.write(out, head, new byte[0]);
    }

    private static String echo(Rig.Message request) {
        String callId = request.header("X-Tamarackfold-Request-Id");
        return callId == null ? "" : "X-Tamarackfold-Request-Id: " + callId + "\r\n";
    }

    /** Returns the head of a success up to the framing of its body. */
    public static String successHead(Rig.Message request) {
        return "HTTP/1.1 200 OK\r\n%sX-Tamarackfold-Response-Signature: s.%s\r\n"
                .formatted(echo(request), request.header("X-Tamarackfold-Request-Id"));
    }

    /** Answers with a body that names the request. */
    public static void succeed(Rig.Message request, OutputStream out) throws IOException {
        byte[] body = ("done " + request.header("X-Tamarackfold-Request-Id")).getBytes();
        String head =
                successHead(request) + "Content-Length: %d\r\n\r\n".formatted(body.length);
        Rig.Http.write(out, head, body);
    }

    /** Ends the engine; returns false if it has crashed before. */
    public boolean crash() throws IOException {
        synchronized (this) {
            if (crashed) {
                return false;
            }
            crashed = true;
        }
        close();
        return true;
    }

    /** Closes all connections and the port, as a crash does. */
    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
