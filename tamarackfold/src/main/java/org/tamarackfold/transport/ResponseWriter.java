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
    /** Memory of a queued part beside its bytes: a body of tiny parts is mostly this. */
    private static final long PART_OVERHEAD_BYTES = 96;

    private final HttpServerExchange exchange;
    private final Runnable onQueueEmpty;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamSinkChannel sink;
    private long pendingBytes;
    private boolean awaitingWritable;
    private boolean endRequested;
    private boolean writesShutDown;
    private boolean closed;

    /**
     * Creates a writer.
     *
     * @param exchange the exchange, whose status and headers are set before the first write
     * @param onQueueEmpty called when all queued bytes have been written after a write had to wait
     */
    public ResponseWriter(HttpServerExchange exchange, Runnable onQueueEmpty) {
        this.exchange = exchange;
        this.onQueueEmpty = onQueueEmpty;
    }

    /** Sends a complete body with its Content-Length; set status and other headers before. */
    public static void sendBody(HttpServerExchange exchange, byte[] body) {
        exchange.setResponseContentLength(body.length);
        ResponseWriter writer = new ResponseWriter(exchange, () -> {});
        writer.write(body);
        writer.end();
    }

    /** Queues bytes and writes as many as possible. Ignored after the end or an abort. */
    public void write(byte[] bytes) {
        if (closed || endRequested) {
            return;
        }
        pendingBytes += bytes.length;
        queue.add(ByteBuffer.wrap(bytes));
        writeQueued();
    }

    /** Ends the response once all queued bytes have been written. */
    public void end() {
        if (closed || endRequested) {
            return;
        }
        endRequested = true;
        writeQueued();
    }

    /** Closes the connection, so that a partial response is not mistaken for a complete one. */
    public void abort() {
        closed = true;
        queue.clear();
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Returns the memory of the queued parts, in bytes; 0 when nothing is queued. */
    public long queuedMemory() {
        return pendingBytes + queue.size() * PART_OVERHEAD_BYTES;
    }

    private void writeQueued() {
        if (awaitingWritable || closed) {
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
            // The connection is lost; DisconnectDetector reports this for connections of callers.
            abort();
        }
    }

    private void onWritable() {
        sink.suspendWrites();
        awaitingWritable = false;
        writeQueued();
        if (!awaitingWritable && !closed) {
            onQueueEmpty.run();
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
        if (endRequested && !writesShutDown) {
            writesShutDown = true;
            sink.shutdownWrites();
        }
        if (!sink.flush()) {
            return false;
        }
        if (endRequested) {
            closed = true;
            exchange.endExchange();
        }
        return true;
    }
}
