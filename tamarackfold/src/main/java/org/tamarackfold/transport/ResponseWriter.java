package org.tamarackfold.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes a response without blocking. Must be used on the I/O thread of the exchange only. */
public final class ResponseWriter {
    private final HttpServerExchange exchange;
    private final Runnable onDrained;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamSinkChannel sink;
    private long pendingBytes;
    private boolean awaitingWritable;
    private boolean ending;
    private boolean writesShutDown;
    private boolean done;

    /**
     * Creates a writer.
     *
     * @param exchange the exchange, whose status and headers are set before the first write
     * @param onDrained called when all queued bytes have been written after a write had to wait
     */
    public ResponseWriter(HttpServerExchange exchange, Runnable onDrained) {
        this.exchange = exchange;
        this.onDrained = onDrained;
    }

    /** Sends a complete body with its Content-Length; set status and other headers before. */
    public static void sendWhole(HttpServerExchange exchange, byte[] body) {
        exchange.setResponseContentLength(body.length);
        ResponseWriter writer = new ResponseWriter(exchange, () -> {});
        writer.write(body);
        writer.end();
    }

    /** Queues bytes and writes as many as possible. Ignored after the end or an abort. */
    public void write(byte[] bytes) {
        if (done || ending) {
            return;
        }
        pendingBytes += bytes.length;
        queue.add(ByteBuffer.wrap(bytes));
        writeQueued();
    }

    /** Ends the response once all queued bytes have been written. */
    public void end() {
        if (done || ending) {
            return;
        }
        ending = true;
        writeQueued();
    }

    /** Closes the connection, so that a partial response is not mistaken for a complete one. */
    public void abort() {
        done = true;
        queue.clear();
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Returns the number of queued bytes that have not been written yet. */
    public long pendingBytes() {
        return pendingBytes;
    }

    private void writeQueued() {
        if (awaitingWritable || done) {
            return;
        }
        try {
            if (sink == null) {
                sink = exchange.getResponseChannel();
                sink.getWriteSetter().set(channel -> onWritable());
            }
            if (!flushQueue()) {
                awaitingWritable = true;
                sink.resumeWrites();
            }
        } catch (IOException e) {
            // The connection is lost. For the connection of a caller, DisconnectWatch reports this.
            abort();
        }
    }

    private void onWritable() {
        sink.suspendWrites();
        awaitingWritable = false;
        writeQueued();
        if (!awaitingWritable && !done) {
            onDrained.run();
        }
    }

    /** Returns whether all queued bytes have been written. */
    private boolean flushQueue() throws IOException {
        for (ByteBuffer buffer = queue.peek(); buffer != null; buffer = queue.peek()) {
            while (buffer.hasRemaining()) {
                int count = sink.write(buffer);
                if (count == 0) {
                    return false;
                }
                pendingBytes -= count;
            }
            queue.poll();
        }
        if (ending && !writesShutDown) {
            writesShutDown = true;
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
