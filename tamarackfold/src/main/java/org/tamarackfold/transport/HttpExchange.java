package org.tamarackfold.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request and its response on a pooled or new connection. Everything runs on one I/O thread;
 * only {@link #cancel} may be called from others.
 */
final class HttpExchange implements ExchangeHandle {
    /**
     * Parts of a body that are read before other connections of the thread have their turn; a
     * server that sends without pause would otherwise occupy the thread.
     */
    private static final int MAXIMUM_PARTS_IN_A_ROW = 16;

    /** Bytes of a discarded body that are read to save the connection. */
    private static final long MAXIMUM_DISCARDED_BYTES = 64 * 1024;

    private static final Duration DISCARD_TIMEOUT = Duration.ofMillis(500);

    private final PooledHttpClient client;
    private final IoRuntime runtime;
    private final PooledHttpClient.ConnectionPool pool;
    private final XnioIoThread thread;
    private final HttpRequest request;
    private final ResponseListener listener;

    /** The attempt to open a connection that is in progress; otherwise null. */
    private ConnectionAttempt connecting;

    private ServerConnection connection;
    private StreamSourceChannel responseChannel;
    private XnioIoThread.Key timer;
    private boolean usesIdleConnection;
    private boolean requestSent;
    private boolean headSeen;
    private boolean finished;
    private boolean serverKeepsConnection;
    private boolean paused;
    private boolean discarding;
    private Runnable onDiscarding = () -> {};
    private long discardedBytes;
    private long idleTimeoutNanos;

    HttpExchange(
            PooledHttpClient client,
            IoRuntime runtime,
            PooledHttpClient.ConnectionPool pool,
            XnioIoThread thread,
            HttpRequest request,
            ResponseListener listener) {
        this.client = client;
        this.runtime = runtime;
        this.pool = pool;
        this.thread = thread;
        this.request = request;
        this.listener = listener;
        this.idleTimeoutNanos = client.defaultIdleTimeoutNanos();
    }

    void start() {
        if (finished) {
            return;
        }
        ServerConnection idleConnection = pool.acquire(request.address(), System.nanoTime());
        if (idleConnection != null) {
            usesIdleConnection = true;
            send(idleConnection);
            return;
        }
        connect();
    }

    private void connect() {
        connecting = new ConnectionAttempt(runtime, thread, this::onConnectionResult);
        connecting.start(request.address(), request.connectTimeout());
    }

    private void onConnectionResult(Either<ConnectFailure, ServerConnection> result) {
        connecting = null;
        result.peek(this::send)
                .peekLeft(failure -> fail(new TransportFailure.NotSent(failure.toString())));
    }

    private void send(ServerConnection openConnection) {
        connection = openConnection;
        connection.responseInput().startResponse(request.method().equals(Methods.HEAD));
        cancelTimer();
        request.responseTimeout().forEach(timeout -> setTimer(timeout, this::onTimeout));
        ClientRequest head =
                new ClientRequest().setMethod(request.method()).setPath(request.path());
        HeaderMap headers = head.getRequestHeaders();
        request.headers()
                .forEach(values -> values.forEach(v -> headers.add(values.getHeaderName(), v)));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, request.address().toString());
        }
        headers.put(Headers.CONTENT_LENGTH, request.body().length);
        connection.client().sendRequest(head, new SendCallback());
    }

    /**
     * Fails the exchange after what has arrived was read: a thread that was delayed runs due timers
     * before it reads from its connections.
     */
    private void onTimeout() {
        readArrived();
        thread.execute(() -> fail(new TransportFailure.TimedOut(headSeen)));
    }

    private final class SendCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new HeadCallback());
            try {
                writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
            } catch (IOException e) {
                fail(exchangeFailure(e));
            }
        }

        @Override
        public void failed(IOException e) {
            fail(exchangeFailure(e));
        }
    }

    private TransportFailure exchangeFailure(IOException e) {
        // Some exceptions have no message but a name that tells what happened.
        String reason = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        if (e instanceof MalformedMessageException) {
            return new TransportFailure.Malformed(reason);
        }
        return usesIdleConnection && !headSeen
                ? new TransportFailure.ClosedBeforeResponse(reason)
                : new TransportFailure.Broken(reason);
    }

    private void writeBody(StreamSinkChannel sink, ByteBuffer body) throws IOException {
        while (body.hasRemaining()) {
            if (sink.write(body) == 0) {
                sink.getWriteSetter().set(channel -> resumeWriting(channel, body));
                sink.resumeWrites();
                return;
            }
        }
        sink.shutdownWrites();
        if (!sink.flush()) {
            sink.getWriteSetter().set(channel -> resumeWriting(channel, body));
            sink.resumeWrites();
            return;
        }
        sink.suspendWrites();
        requestSent = true;
    }

    private void resumeWriting(StreamSinkChannel sink, ByteBuffer body) {
        if (finished) {
            sink.suspendWrites();
            return;
        }
        try {
            writeBody(sink, body);
        } catch (IOException e) {
            fail(exchangeFailure(e));
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
            serverKeepsConnection =
                    !"close".equalsIgnoreCase(firstHeader(response, Headers.CONNECTION_STRING));
            KeepAliveHeader.idleTimeoutNanos(firstHeader(response, "Keep-Alive"))
                    .forEach(stated -> idleTimeoutNanos = stated);
            responseChannel = exchange.getResponseChannel();
            listener.onHead(
                    new ResponseHead(
                            response.getResponseCode(),
                            response.getResponseHeaders(),
                            usesIdleConnection));
            responseChannel.getReadSetter().set(channel -> readBody());
            switch (connection.responseInput().framing()) {
                case BodyFraming.NoBody() -> endWithoutBody();
                case BodyFraming.Length(long _), BodyFraming.Chunks(), BodyFraming.UntilClose() ->
                        readBody();
            }
            onDiscarding.run();
        }

        @Override
        public void failed(IOException e) {
            fail(exchangeFailure(e));
        }
    }

    private static String firstHeader(ClientResponse response, String header) {
        return response.getResponseHeaders().getFirst(header);
    }

    private void readBody() {
        try (PooledByteBuffer pooled = runtime.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int part = 0; !finished && !paused; part++) {
                if (part == MAXIMUM_PARTS_IN_A_ROW) {
                    // A queued task would run before the thread looks at other connections.
                    responseChannel.resumeReads();
                    return;
                }
                buffer.clear();
                int count = responseChannel.read(buffer);
                if (count == 0) {
                    responseChannel.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                connection.responseInput().onBodyPart();
                buffer.flip();
                onBodyPart(buffer);
            }
        } catch (IOException e) {
            fail(exchangeFailure(e));
        }
    }

    /**
     * Completes a response that has no body. Undertow's client waits for one after status 304 when
     * the head states the length that the body would have; its connection is then closed.
     */
    private void endWithoutBody() {
        if (finished) {
            return;
        }
        try {
            serverKeepsConnection &= responseChannel.read(ByteBuffer.allocate(1)) < 0;
        } catch (IOException e) {
            serverKeepsConnection = false;
        }
        complete();
    }

    private void onBodyPart(ByteBuffer part) {
        if (!discarding) {
            listener.onBody(part);
            return;
        }
        discardedBytes += part.remaining();
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            cancel();
        }
    }

    private void complete() {
        finished = true;
        cancelTimer();
        boolean keepOpen =
                serverKeepsConnection && requestSent && idleTimeoutNanos > 0 && connection.isOpen();
        if (keepOpen) {
            // Released only after the current read has returned to the event loop, so that surplus
            // bytes from the server close the connection first.
            thread.execute(this::releaseConnection);
        } else {
            closeConnection();
        }
        if (!discarding) {
            listener.onEnd();
        }
    }

    private void releaseConnection() {
        if (!connection.isOpen()) {
            return;
        }
        long nowNanos = System.nanoTime();
        pool.release(request.address(), connection, nowNanos + idleTimeoutNanos, nowNanos);
    }

    private void fail(TransportFailure failure) {
        if (finished) {
            return;
        }
        finished = true;
        cancelTimer();
        closeConnection();
        if (failure instanceof TransportFailure.TimedOut) {
            // What has silenced this connection may have silenced the idle ones, too.
            pool.closeAll(request.address());
        }
        if (!discarding) {
            listener.onFailure(failure);
        }
    }

    @Override
    public Stage stage() {
        if (connection == null) {
            return Stage.CONNECTING;
        }
        return usesIdleConnection ? Stage.SENT_ON_KEPT_CONNECTION : Stage.SENT_ON_NEW_CONNECTION;
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
    public void setReadingPaused(boolean pause) {
        if (finished || responseChannel == null || pause == paused) {
            return;
        }
        paused = pause;
        if (pause) {
            responseChannel.suspendReads();
        } else {
            thread.execute(this::resumeReading);
        }
    }

    @Override
    public void readArrived() {
        if (!finished && !paused && connection != null) {
            connection.responseInput().wakeupReads();
        }
    }

    @Override
    public void discardBody(Runnable whenDiscarding) {
        onDiscarding = whenDiscarding;
        discarding = true;
        setTimer(DISCARD_TIMEOUT, this::cancel);
    }

    private void closeConnection() {
        if (connecting != null) {
            connecting.cancel();
        }
        if (connection != null) {
            connection.closeDuringExchange();
        }
    }

    private void resumeReading() {
        if (!finished) {
            readBody();
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
