package org.tamarackfold.standin.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tamarackfold.id.Address;

/**
 * Endpoint that answers each request with scripted bytes, so that tests can violate the protocol at
 * any byte.
 */
public final class ScriptedEndpoint implements AutoCloseable {
    /** A step of a scripted response. */
    public sealed interface Step {
        /**
         * Sends bytes unchanged.
         *
         * @param text the bytes, decoded as Latin-1
         */
        record Send(String text) implements Step {}

        /**
         * Waits, and fails when the client closes the connection meanwhile. A byte that the client
         * sends meanwhile is consumed and ends the pause.
         *
         * @param millis the time, in milliseconds
         */
        record Pause(long millis) implements Step {}

        /**
         * Waits for the test.
         *
         * @param signal completes when the response may go on
         */
        record Await(CompletableFuture<Void> signal) implements Step {}

        /**
         * Sends bytes again and again until the client closes the connection.
         *
         * @param text the bytes, decoded as Latin-1
         * @param intervalMillis the pause after each repetition, in milliseconds; 0 for none
         */
        record Repeat(String text, long intervalMillis) implements Step {}

        /** Closes the connection normally. */
        record Close() implements Step {}

        /** Closes the connection with a TCP reset. */
        record Reset() implements Step {}
    }

    /**
     * A received request.
     *
     * @param head the request line and the headers, with their line ends
     * @param body the body, decoded as Latin-1
     */
    public record ReceivedRequest(String head, String body) {
        /** Returns the value of the first header with this name; empty when absent. */
        public String header(String name) {
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).trim();
                }
            }
            return "";
        }
    }

    /** Small, so that the client cannot finish sending a long body before it is read. */
    private static final int RECEIVE_BUFFER_BYTES = 8_192;

    private record ScriptedResponse(boolean beforeBody, List<Step> steps) {}

    private final ServerSocket server;
    private final Thread accepting;
    private final BlockingQueue<ScriptedResponse> responses = new LinkedBlockingQueue<>();
    private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
    private final AtomicInteger connectionsClosedByClient = new AtomicInteger();
    private final List<Long> responseEndsNanos = new CopyOnWriteArrayList<>();
    private final AtomicLong repeatedBytes = new AtomicLong();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    /** Starts an endpoint on a free port of the loopback interface. */
    public ScriptedEndpoint() throws IOException {
        server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        accepting = Thread.ofVirtual().start(this::acceptLoop);
    }

    /** Returns the address on which the endpoint listens. */
    public Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /** Queues the response to one request. */
    public ScriptedEndpoint respond(Step... steps) {
        responses.add(new ScriptedResponse(false, List.of(steps)));
        return this;
    }

    /** Queues the response to one request, whose body is read only after the response was sent. */
    public ScriptedEndpoint respondBeforeBody(Step... steps) {
        responses.add(new ScriptedResponse(true, List.of(steps)));
        return this;
    }

    /** Queues a complete response; the headers are lines joined by CRLF, none at the end. */
    public ScriptedEndpoint respond(String status, String headers, String body) {
        return respond(new Step.Send(completeResponse(status, headers, body)));
    }

    /** Returns the bytes of a complete response with its Content-Length, as Latin-1 text. */
    public static String completeResponse(String status, String headers, String body) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        if (!headers.isEmpty()) {
            text.append(headers).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        return text.toString();
    }

    /** Returns the requests received so far. */
    public List<ReceivedRequest> received() {
        return new ArrayList<>(received);
    }

    /**
     * Returns how many connections the client has closed or reset before a response was complete.
     */
    public int connectionsClosedByClient() {
        return connectionsClosedByClient.get();
    }

    /**
     * Returns when each scripted response had ended, in ns of {@link System#nanoTime()}: after its
     * last step, and after the connection was closed if that was the last step.
     */
    public List<Long> responseEndsNanos() {
        return List.copyOf(responseEndsNanos);
    }

    /** Returns the number of bytes sent by {@link Step.Repeat} steps. */
    public long repeatedBytes() {
        return repeatedBytes.get();
    }

    private void acceptLoop() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // close() has closed the server socket.
            return;
        }
    }

    private void serve(Socket socket) {
        if (serveRequests(socket)) {
            responseEndsNanos.add(System.nanoTime());
        }
    }

    /** Returns whether a scripted response has closed the connection. */
    private boolean serveRequests(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String head = readHead(in);
            while (head != null && serveRequest(head, socket)) {
                responseEndsNanos.add(System.nanoTime());
                head = readHead(in);
            }
            return head != null;
        } catch (IOException e) {
            connectionsClosedByClient.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }

    /** Returns whether the connection stays open. */
    private boolean serveRequest(String head, Socket socket)
            throws IOException, InterruptedException {
        ScriptedResponse response = responses.peek();
        if (response != null && response.beforeBody()) {
            responses.remove();
            boolean open = sendResponse(response.steps(), socket);
            received.add(new ReceivedRequest(head, readBody(head, socket.getInputStream())));
            return open;
        }
        received.add(new ReceivedRequest(head, readBody(head, socket.getInputStream())));
        ScriptedResponse next = responses.poll(2, TimeUnit.SECONDS);
        return next != null && sendResponse(next.steps(), socket);
    }

    /** Returns whether the connection stays open. */
    private boolean sendResponse(List<Step> steps, Socket socket)
            throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        for (Step step : steps) {
            switch (step) {
                case Step.Send(String text) -> {
                    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
                case Step.Pause(long millis) -> pauseUnlessClosed(socket, millis);
                case Step.Await(CompletableFuture<Void> signal) -> signal.join();
                case Step.Repeat(String text, long intervalMillis) ->
                        sendUntilClosed(socket, text, intervalMillis);
                case Step.Close() -> {
                    return false;
                }
                case Step.Reset() -> {
                    socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                    return false;
                }
            }
        }
        return true;
    }

    private void sendUntilClosed(Socket socket, String text, long intervalMillis)
            throws IOException, InterruptedException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            socket.getOutputStream().write(bytes);
            repeatedBytes.addAndGet(bytes.length);
            if (intervalMillis > 0) {
                Thread.sleep(intervalMillis);
            }
        }
    }

    private static void pauseUnlessClosed(Socket socket, long millis) throws IOException {
        socket.setSoTimeout((int) Math.max(1, millis));
        try {

            if (socket.getInputStream().read() < 0) {
                throw new IOException("connection closed by the client during a pause");
            }
        } catch (java.net.SocketTimeoutException e) {
            // The connection stayed open for the whole pause.
            socket.setSoTimeout(0);
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String readBody(String head, InputStream in) throws IOException {
        return new String(in.readNBytes(contentLength(head)), StandardCharsets.ISO_8859_1);
    }

    private static int contentLength(String head) {
        for (String line : head.toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return 0;
    }

    /** Closes all connections; returns when no further one can be opened. */
    @Override
    public void close() {
        try {
            server.close();
            // The port is open until the thread that accepts connections has noticed the close.
            accepting.join();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
