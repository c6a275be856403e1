package org.tamarackfold.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tamarackfold.log.StructuredLog;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Decides what the requests of a connection are, before Undertow parses them. Passes the bytes of
 * one request at a time, and those of the next one when the exchange has ended. Nothing passes from
 * the first byte on that is outside of the grammar, so that neither that request nor anything after
 * it is run; the answer to it is 400, and the connection closes. Used on one I/O thread only.
 */
final class RequestInputConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final StructuredLog LOG = StructuredLog.of("http");

    private static final byte[] BAD_REQUEST =
            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * Time for which bytes are discarded before a connection closes. Closing it while bytes are
     * unread resets it, and the client may lose the response.
     */
    private static final Duration LINGER_TIME = Duration.ofSeconds(1);

    /** Bytes of following requests that are read ahead to detect that the client has gone. */
    private static final int READ_AHEAD_BYTES = 1_024;

    private static final ByteBuffer NONE = ByteBuffer.allocate(0);

    private final StreamConnection connection;
    private final ByteBufferPool buffers;
    private final Duration bodyTimeout;
    private final Runnable onMalformed;
    private final StreamSinkConduit sink;
    private final RequestCheck request = new RequestCheck();

    /** Whether no further byte passes. */
    private boolean closing;

    /** The bytes of following requests, not checked yet. */
    private ByteBuffer following = NONE;

    private boolean exchangeInProgress;

    /** Whether a malformed request is still to be answered. */
    private boolean answerPending;

    private boolean lingering;
    private boolean ended;
    private long lastBodyByteNanos;
    private XnioExecutor.Key bodyTimer;

    /** Learns that no further byte of the body will come, while one waits for it. */
    private Consumer<RequestBody.Failure> bodyReader = failure -> {};

    private RequestInputConduit(
            StreamConnection connection,
            ByteBufferPool buffers,
            Duration bodyTimeout,
            Runnable onMalformed) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.buffers = buffers;
        this.bodyTimeout = bodyTimeout;
        this.onMalformed = onMalformed;
        this.sink = connection.getSinkChannel().getConduit();
    }

    /**
     * Installs a conduit on a connection that was accepted, before Undertow reads from it.
     *
     * @param bodyTimeout time without a byte of a body after which the rest is not expected any
     *     more
     * @param onMalformed called for each malformed request
     */
    static void install(
            StreamConnection connection,
            ByteBufferPool buffers,
            Duration bodyTimeout,
            Runnable onMalformed) {
        connection
                .getSourceChannel()
                .setConduit(new RequestInputConduit(connection, buffers, bodyTimeout, onMalformed));
    }

    /** Returns what the request in progress asks for. */
    RequestTarget target() {
        return request.target();
    }

    /** Reports that a handler has got the request in progress. */
    void startExchange() {
        exchangeInProgress = true;
    }

    /**
     * Reports that the exchange has ended.
     *
     * @param persistent whether the bytes of the next request may pass
     */
    void endExchange(boolean persistent) {
        exchangeInProgress = false;
        bodyReader = failure -> {};
        if (!persistent) {
            close();
        } else if (request.isComplete()) {
            request.startRequest();
        }
    }

    /** Sets who learns that no further byte of the body will come. */
    void readBody(Consumer<RequestBody.Failure> reader) {
        bodyReader = reader;
    }

    /** Returns whether bytes of a following request have been read. */
    boolean hasFollowing() {
        return following.hasRemaining();
    }

    /** Reads what has arrived after the request in progress, unless bytes have been read before. */
    RequestInput.Following readAhead() {
        if (hasFollowing()) {
            return RequestInput.Following.BYTES;
        }
        ByteBuffer read = ByteBuffer.allocate(READ_AHEAD_BYTES);
        try {
            if (super.read(read) < 0) {
                return RequestInput.Following.END;
            }
        } catch (IOException e) {
            // The client has reset the connection.
            return RequestInput.Following.END;
        }
        following = read.flip();
        return hasFollowing() ? RequestInput.Following.BYTES : RequestInput.Following.NOTHING;
    }

    /**
     * Passes no further bytes of the request in progress: its connection closes after the response.
     */
    void discardRest() {
        if (isInBody()) {
            close();
        }
    }

    /**
     * Asks the client for the body of the request in progress.
     *
     * @throws IOException when the client does not read
     */
    void sendContinue() throws IOException {
        if (isInBody()) {
            write(CONTINUE);
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (closing) {
            return answerPending ? 0 : discardArrived();
        }
        // The bytes of the next request wait for the end of the exchange.
        return request.isComplete() ? 0 : readRequest(target);
    }

    private int readRequest(ByteBuffer target) throws IOException {
        int offset = target.position();
        int count = hasFollowing() ? takeFollowing(target) : super.read(target);
        if (count <= 0) {
            return count;
        }
        try {
            keepFollowing(target, request.check(target, offset));
        } catch (MalformedMessageException e) {
            target.position(offset);
            reject(e.getMessage());
            return 0;
        }
        watchBody();
        return target.position() - offset;
    }

    private int takeFollowing(ByteBuffer target) {
        int count = Math.min(target.remaining(), following.remaining());
        target.put(target.position(), following, following.position(), count);
        target.position(target.position() + count);
        following.position(following.position() + count);
        return count;
    }

    /** Keeps the bytes of a buffer from an offset on, ahead of those that are kept already. */
    private void keepFollowing(ByteBuffer target, int offset) {
        int count = target.position() - offset;
        if (count == 0) {
            return;
        }
        ByteBuffer kept = ByteBuffer.allocate(count + following.remaining());
        kept.put(0, target, offset, count);
        kept.put(count, following, following.position(), following.remaining());
        following = kept;
        target.position(offset);
    }

    /** Starts or stops the timer of the body. */
    private void watchBody() {
        if (isInBody()) {
            lastBodyByteNanos = System.nanoTime();
            if (bodyTimer == null) {
                startBodyTimer(bodyTimeout);
            }
        } else {
            stopBodyTimer();
        }
    }

    private void startBodyTimer(Duration delay) {
        bodyTimer =
                connection
                        .getIoThread()
                        .executeAfter(
                                this::onBodyTimer,
                                Math.max(1, delay.toMillis()),
                                TimeUnit.MILLISECONDS);
    }

    private void stopBodyTimer() {
        if (bodyTimer != null) {
            bodyTimer.remove();
            bodyTimer = null;
        }
    }

    private void onBodyTimer() {
        bodyTimer = null;
        if (!isInBody() || !connection.isOpen()) {
            return;
        }
        Duration idle = Duration.ofNanos(System.nanoTime() - lastBodyByteNanos);
        if (idle.compareTo(bodyTimeout) < 0) {
            startBodyTimer(bodyTimeout.minus(idle));
            return;
        }
        LOG.event("request_stopped").with("peer", connection.getPeerAddress()).info();
        close();
        bodyReader.accept(new RequestBody.Failure.Stopped());
        // A handler that only waits for the end of the body has to see the end.
        super.wakeupReads();
    }

    private void reject(String reason) {
        LOG.event("request_malformed")
                .with("peer", connection.getPeerAddress())
                .with("listener", connection.getLocalAddress())
                .with("reason", reason)
                .info();
        onMalformed.run();
        close();
        answerPending = true;
        // Undertow is still reading.
        connection.getIoThread().execute(() -> answer(reason));
    }

    private void answer(String reason) {
        answerPending = false;
        if (exchangeInProgress) {
            bodyReader.accept(new RequestBody.Failure.Malformed(reason));
            // A handler that only waits for the end of the body has to see the end.
            super.wakeupReads();
        } else {
            answerBadRequest();
        }
    }

    private boolean isInBody() {
        return !closing && request.isInBody();
    }

    private void close() {
        closing = true;
        following = NONE;
        stopBodyTimer();
    }

    /** Answers a request of which no handler knows. */
    private void answerBadRequest() {
        connection.getSourceChannel().setReadListener(channel -> discardOrClose());
        try {
            write(BAD_REQUEST);
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        super.resumeReads();
        discardOrClose();
    }

    /**
     * Writes bytes between responses.
     *
     * @throws IOException when the client has not read the responses before
     */
    private void write(byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (sink.write(buffer) < bytes.length || !sink.flush()) {
            throw new IOException("the client does not read");
        }
    }

    private void discardOrClose() {
        try {
            if (discardArrived() >= 0) {
                return;
            }
        } catch (IOException e) {
            // The client has reset the connection.
        }
        IoUtils.safeClose(connection);
    }

    /** Returns -1 when the client has closed the connection or has had the time to, 0 otherwise. */
    private int discardArrived() throws IOException {
        startLingering();
        if (ended) {
            return -1;
        }
        try (PooledByteBuffer discarded = buffers.allocate()) {
            ended = super.read(discarded.getBuffer()) < 0;
        }
        return ended ? -1 : 0;
    }

    /** Tells the client that no more responses come, so that it closes the connection. */
    private void startLingering() throws IOException {
        if (lingering) {
            return;
        }
        lingering = true;
        sink.terminateWrites();
        connection
                .getIoThread()
                .executeAfter(this::endLingering, LINGER_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void endLingering() {
        ended = true;
        if (connection.isOpen()) {
            super.wakeupReads();
        }
    }

    /** Fills one buffer only, so that all bytes are checked in their order. */
    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }

    /**
     * Undertow shuts down the reads of a connection whose request is not read to its end. Reads on
     * instead, for {@link #LINGER_TIME}, so that the client gets the response.
     */
    @Override
    public void terminateReads() throws IOException {
        if (exchangeInProgress && !ended) {
            close();
        } else {
            super.terminateReads();
        }
    }

    /** Bytes that were read already do not make the connection readable again. */
    @Override
    public void resumeReads() {
        if (hasFollowing() && !request.isComplete()) {
            super.wakeupReads();
        } else {
            super.resumeReads();
        }
    }
}
