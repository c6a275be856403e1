import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A connection of a client that is kept for many requests. */
final class Client implements AutoCloseable {
    /** What a client has received: status 0 when the connection ended without a whole answer. */
    record Answer(
            int status,
            Map<String, String> headers,
            byte[] body,
            boolean whole,
            String failure,
            List<Integer> interim) {
        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private final Socket socket = new Socket();
    private InputStream in;
    private boolean closed;

    Client(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    boolean isClosed() {
        return closed;
    }

    static String get(int port, String path, int timeoutMillis) {
        try (Client client = new Client(port)) {
            Answer answer = client.send("GET", path, "x.example", Map.of(), new byte[0], timeoutMillis);
            return "HTTP/1.1 " + answer.status() + "\n" + answer.text();
        } catch (IOException e) {
            return "failed: " + e;
        }
    }

    Answer send(String method, String path, String host, Map<String, String> headers, byte[] body, int timeoutMillis) {
        List<Integer> interim = new ArrayList<>();
        try {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(System.nanoTime() + timeoutMillis * 1_000_000L, interim);
        } catch (IOException e) {
            closed = true;
            return new Answer(0, Map.of(), new byte[0], false, String.valueOf(e.getMessage()), interim);
        }
    }

    private Answer read(long deadlineNanos, List<Integer> interim) throws IOException {
        int status;
        Map<String, String> headers;
        do {
            status = Integer.parseInt(line(deadlineNanos).split(" ")[1]);
            headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String line = line(deadlineNanos); !line.isEmpty(); line = line(deadlineNanos)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            if (status < 200) {
                // RFC 9110, 15.2: an interim response; the final one follows.
                interim.add(status);
            }
        } while (status < 200);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
                try {
            if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
                while (true) {
                    int size = Integer.parseInt(line(deadlineNanos).trim(), 16);
                    copy(size, body, deadlineNanos);
                    line(deadlineNanos);
                    if (size == 0) {
                        break;
                    }
                }
            } else {
                copy(Integer.parseInt(headers.getOrDefault("Content-Length", "0")), body, deadlineNanos);
            }
        } catch (IOException e) {
            closed = true;
            return new Answer(status, headers, body.toByteArray(), false, String.valueOf(e.getMessage()), interim);
        }
        if ("close".equalsIgnoreCase(headers.get("Connection"))) {
            closed = true;
        }
        return new Answer(status, headers, body.toByteArray(), true, "", interim);
    }

    private int next(long deadlineNanos) throws IOException {
        long left = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            throw new SocketTimeoutException("no answer in time");
        }
        socket.setSoTimeout((int) left);
        int b = in.read();
        if (b < 0) {
            throw new EOFException("connection ended");
        }
        return b;
    }

    private void copy(int size, ByteArrayOutputStream target, long deadlineNanos) throws IOException {
        for (int i = 0; i < size; i++) {
            target.write(next(deadlineNanos));
        }
    }

    private String line(long deadlineNanos) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = next(deadlineNanos); b != '\n'; b = next(deadlineNanos)) {
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    @Override
    public void close() {
        closed = true;
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed anyway.
        }
    }
}
