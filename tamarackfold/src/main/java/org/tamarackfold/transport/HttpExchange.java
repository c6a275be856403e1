package org.tamarackfold.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its response on a connection of the pool. Runs on one I/O thread. */
final class HttpExchange implements ExchangeHandle {
    /** Taken off the idle time that a peer states, because it is given in whole seconds. */
    private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final HttpClientPool client;
    private final IoRuntime runtime;
    private final HttpClientPool.ThreadPool pool;
    private final XnioIoThread thread;
    private final HttpRequest request;
    private final ResponseListener listener;

    private ClientConnection connection;
    private StreamSourceChannel source;
    private XnioIoThread.Key timer;
    private boolean reused;
    private boolean requestSent;
    private boolean headSeen;
    private boolean finished;
    private boolean reusable;
    private boolean paused;
    private long idleNanos;

    HttpExchange(
            HttpClientPool client,
            IoRuntime runtime,
            HttpClientPool.ThreadPool pool,
            XnioIoThread thread,
            HttpRequest request,
            ResponseListener listener) {
        this.client = client;
        this.runtime = runtime;
        this.pool = pool;
        this.thread = thread;
        this.request = request;
        this.listener = listener;
        this.idleNanos = client.defaultIdleNanos();
    }

    void start() {
        if (finished) {
            return;
        }
        ClientConnection idle = pool.take(request.address(), System.nanoTime());
        if (idle != null) {
            reused = true;
            send(idle);
            return;
        }
        connect();
    }

    private void connect() {
        setTimer(
                request.connectTimeout(),
                () -> fail(new TransportFailure.NotSent("connect timed out")));
        String ip = request.address().ip();
        int port = request.address().port();
        UndertowClient.getInstance()
                .connect(
                        new ConnectCallback(),
                        URI.create("http://" + ip + ":" + port),
                        thread,
                        runtime.buffers(),
                        OptionMap.EMPTY);
    }

    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection opened) {
            if (finished) {
                IoUtils.safeClose(opened);
                return;
            }
            send(opened);
        }

        @Override
        public void failed(IOException e) {
            fail(new TransportFailure.NotSent("connect failed: " + e.getMessage()));
        }
    }

    private void send(ClientConnection open) {
        connection = open;
        setTimer(request.responseTimeout(), () -> fail(new TransportFailure.TimedOut(headSeen)));
        ClientRequest head =
                new ClientRequest().setMethod(request.method()).setPath(request.path());
        HeaderMap headers = head.getRequestHeaders();
        request.headers()
                .forEach(values -> values.forEach(v -> headers.add(values.getHeaderName(), v)));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, request.address().toString());
        }
        headers.put(Headers.CONTENT_LENGTH, request.body().length);
        connection.sendRequest(head, new SendCallback());
    }

    private final class SendCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new HeadCallback());
            try {
                writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
            } catch (IOException e) {
                fail(sendFailure(e));
            }
        }

        @Override
        public void failed(IOException e) {
            fail(sendFailure(e));
        }
    }

    private TransportFailure sendFailure(IOException e) {
        String reason = String.valueOf(e.getMessage());
        return reused && !headSeen
                ? new TransportFailure.ClosedBeforeResponse(reason)
                : new TransportFailure.Broken(reason);
    }

    private void writeBody(StreamSinkChannel sink, ByteBuffer body) throws IOException {
        while (body.hasRemaining()) {
            if (sink.write(body) == 0) {
                sink.getWriteSetter().set(channel -> continueBody(channel, body));
                sink.resumeWrites();
                return;
            }
        }
        sink.shutdownWrites();
        if (!sink.flush()) {
            sink.getWriteSetter().set(channel -> continueBody(channel, body));
            sink.resumeWrites();
            return;
        }
        sink.suspendWrites();
        requestSent = true;
    }

    private void continueBody(StreamSinkChannel sink, ByteBuffer body) {
        if (finished) {
            sink.suspendWrites();
            return;
        }
        try {
            writeBody(sink, body);
        } catch (IOException e) {
            fail(sendFailure(e));
        }
    }

    private final class HeadCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            if (finished) {
                return;
            }
            headSeen = true;
            ClientResponse response = exchange.getResponse();
            reusable = !"close".equalsIgnoreCase(first(response, Headers.CONNECTION_STRING));
            readIdleTime(first(response, "Keep-Alive"));
            source = exchange.getResponseChannel();
            listener.onHead(response.getResponseCode(), response.getResponseHeaders());
            source.getReadSetter().set(channel -> read());
            read();
        }

        @Override
        public void failed(IOException e) {
            fail(sendFailure(e));
        }
    }

    private static String first(ClientResponse response, String header) {
        return response.getResponseHeaders().getFirst(header);
    }

    private void readIdleTime(String keepAlive) {
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at < 0) {
            return;
        }
        int end = at + "timeout=".length();
        int start = end;
        while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
            end++;
        }
        if (end > start && end - start < 6) {
            long stated = TimeUnit.SECONDS.toNanos(Long.parseLong(keepAlive, start, end, 10));
            idleNanos = Math.max(0, stated - IDLE_MARGIN_NANOS);
        }
    }

    private void read() {
        try (PooledByteBuffer pooled = runtime.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!finished && !paused) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                buffer.flip();
                listener.onBody(buffer);
            }
        } catch (IOException e) {
            fail(new TransportFailure.Broken(String.valueOf(e.getMessage())));
        }
    }

    private void complete() {
        finished = true;
        cancelTimer();
        boolean keep = reusable && requestSent && idleNanos > 0 && connection.isOpen();
        if (keep) {
            // The connection is put back after the current read has returned to the event loop, so
            // that surplus bytes of the peer close it first.
            thread.execute(this::release);
        } else {
            closeConnection();
        }
        listener.onEnd();
    }

    private void release() {
        if (!connection.isOpen()) {
            return;
        }
        long now = System.nanoTime();
        pool.put(request.address(), connection, now + idleNanos, now);
    }

    private void fail(TransportFailure failure) {
        if (finished) {
            return;
        }
        finished = true;
        cancelTimer();
        closeConnection();
        listener.onFailure(failure);
    }

    @Override
    public void cancel() {
        if (Thread.currentThread() != thread) {
            thread.execute(this::cancel);
            return;
        }
        if (finished) {
            return;
        }
        finished = true;
        cancelTimer();
        closeConnection();
    }

    @Override
    public void pauseReading(boolean pause) {
        if (finished || source == null || pause == paused) {
            return;
        }
        paused = pause;
        if (pause) {
            source.suspendReads();
        } else {
            thread.execute(this::continueReading);
        }
    }

    /**
     * Closes the socket at once. The close method of the client waits for the peer and sends no end
     * of stream while a request is under way, so the peer would go on with it.
     */
    private void closeConnection() {
        if (connection == null) {
            return;
        }
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private void continueReading() {
        if (!finished) {
            read();
        }
    }

    private void setTimer(Duration delay, Runnable action) {
        cancelTimer();
        timer = thread.executeAfter(action, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }
}
