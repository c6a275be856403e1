import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** A stand-in of an engine: answers requests as a behaviour decides, and notes what it runs. */
class Engine implements AutoCloseable {
    /** One request as an engine has read it. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("X-Tamarackfold-Request-Id", "none");
        }
    }

    /** Answers a request; returns whether the connection is kept. */
    interface Behaviour {
        boolean answer(Engine engine, Request request, OutputStream out, InputStream in)
                throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    final String zone;
    final int port;
    final long bornMillis = System.currentTimeMillis();
    final Records records;
    volatile Behaviour behaviour;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Engine(String id, String service, String zone, Records records, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.records = records;
        this.behaviour = behaviour;
        port = Ports.free();
        server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.0.1", port), 512);
        Thread.ofPlatform().daemon().start(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean kept = true;
            while (kept) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                kept = behaviour.answer(this, request, out, in);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Request(words[0], words[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        for (; b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    String head(Request request, int status) {
        return "HTTP/1.1 " + status + " -\r\nX-Tamarackfold-Request-Id: " + request.id()
                + "\r\nX-Tamarackfold-Response-Signature: " + id + "." + request.id() + "\r\n";
    }

    /** Runs a request and answers it whole after a time of work. */
    static Behaviour sound(long workMillis) {
        return (engine, request, out, in) -> {
            if (request.path().equals("/healthz")) {
                out.write(bytes("HTTP/1.1 200 OK\r\nX-Tamarackfold-Instance-Id: " + engine.id + "\r\nContent-Length: 0\r\n\r\n"));
                return true;
            }
            String expected = request.headers().get("X-Tamarackfold-Expected-Instance");
            if (expected != null && !expected.equals(engine.id)) {
                engine.records.add("misdirected " + request.id() + " at " + engine.id);
                out.write(bytes("HTTP/1.1 421 -\r\nX-Tamarackfold-Request-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n"));
                return true;
            }
            engine.records.add("run " + request.id() + " at " + engine.id + " body " + request.body().length);
            Thread.sleep(workMillis);
            String body = "done " + request.id() + "\n";
            out.write(bytes(engine.head(request, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body));
            return true;
        };
    }

    /** Runs a turn and answers it with a stream of events. */
    static Behaviour stream(int events, long gapMillis, int eventBytes) {
        return (engine, request, out, in) -> {
            engine.records.add("run " + request.id() + " at " + engine.id + " body " + request.body().length);
            out.write(bytes(engine.head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = 1; i <= events; i++) {
                Thread.sleep(gapMillis);
                String event = "id: " + i + "\ndata: " + "w".repeat(eventBytes) + "\n\n";
                out.write(bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
            }
            out.write(bytes("0\r\n\r\n"));
            out.flush();
            engine.records.add("answered " + request.id() + " at " + engine.id + " to the end");
            return true;
        };
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed anyway.
        }
    }
}
