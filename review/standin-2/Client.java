package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one connection to an entry host. */
public final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    private final Socket socket = new Socket();
    private final BufferedInputStream in;
    private final OutputStream out;

    public Client(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    public static String newId() {
        return "%016x".formatted(IDS.incrementAndGet());
    }

    public OutputStream out() {
        return out;
    }

    public static String head(
            String method, String path, String id, long deadlineMillis, String extra, int length) {
        return ("%s %s HTTP/1.1\r\nHost: fleet.example\r\nX-Tamarackfold-Request-Id: %s\r\n"
                        + "X-Tamarackfold-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n")
                .formatted(method, path, id, deadlineMillis, extra, length);
    }

    public void send(String method, String path, String id, long deadlineMillis, byte[] body)
            throws IOException {
        send(method, path, id, deadlineMillis, "", body);
    }

    public void send(
            String method, String path, String id, long deadlineMillis, String extra, byte[] body)
            throws IOException {
        Rig.Http.write(out, head(method, path, id, deadlineMillis, extra, body.length), body);
    }

    /** Returns the answer; null when the connection ends before its first byte. */
    public Rig.Message receive(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        return Rig.Http.read(in, true);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
