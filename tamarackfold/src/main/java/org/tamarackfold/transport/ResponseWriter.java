package org.tamarackfold.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes a response to a caller without blocking; runs on the I/O thread of the exchange. */
public final class ResponseWriter {
    private final HttpServerExchange exchange;
    private final Runnable onWritten;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamSinkChannel sink;
    private long pendingBytes;
    private boolean waiting;
    private boolean ending;
    private boolean shutDown;
    private boolean done;

    /**
     * Creates a writer.
     *
     * @param exchange the exchange, whose status and headers are set before the first write
     * @param onWritten runs whenever the queue has become empty
     */
    public ResponseWriter(HttpServerExchange exchange, Runnable onWritten) {
        this.exchange = exchange;
        this.onWritten = onWritten;
    }

    /** Sends a whole response body; the status and other headers are set before. */
    public static void sendWhole(HttpServerExchange exchange, byte[] body) {
        exchange.setResponseContentLength(body.length);
        ResponseWriter writer = new ResponseWriter(exchange, () -> {});
        writer.write(body);
        writer.end();
    }

    /** Queues bytes and writes as many as the connection takes. */
    public void write(byte[] bytes) {
        if (done || ending) {
            return;
        }
        pendingBytes += bytes.length;
        queue.add(ByteBuffer.wrap(bytes));
        pump();
    }

    /** Ends the response after what is queued. */
    public void end() {
        if (done || ending) {
            return;
        }
        ending = true;
        pump();
    }

    /** Closes the connection, so that an unfinished response does not look complete. */
    public void abort() {
        done = true;
        queue.clear();
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Returns the bytes that the connection has not taken yet. */
    public long pendingBytes() {
        return pendingBytes;
    }

    private void pump() {
        if (waiting || done) {
            return;
        }
        try {
            if (sink == null) {
                sink = exchange.getResponseChannel();
                sink.getWriteSetter().set(channel -> resume());
            }
            if (!drain()) {
                waiting = true;
                sink.resumeWrites();
            }
        } catch (IOException e) {
            // The caller is gone; its disconnect is reported by the watch on its connection.
            abort();
        }
    }

    private void resume() {
        sink.suspendWrites();
        waiting = false;
        pump();
        if (!waiting && !done) {
            onWritten.run();
        }
    }

    /** Returns whether everything queued has been written. */
    private boolean drain() throws IOException {
        for (ByteBuffer next = queue.peek(); next != null; next = queue.peek()) {
            while (next.hasRemaining()) {
                int count = sink.write(next);
                if (count == 0) {
                    return false;
                }
                pendingBytes -= count;
            }
            queue.poll();
        }
        if (ending && !shutDown) {
            shutDown = true;
            sink.shutdownWrites();
        }
        if (!sink.flush()) {
            return false;
        }
        if (ending) {
            done = true;
            exchange.endExchange();
        }
        return true;
    }
}
