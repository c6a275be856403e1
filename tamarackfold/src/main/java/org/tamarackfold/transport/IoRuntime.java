package org.tamarackfold.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Pool of I/O threads, shared by all listeners and clients of a process. There are no other worker
 * threads: each call is processed on the I/O thread of its connection. Threads lock the shared
 * tables in the order of {@link org.tamarackfold.table.LockRank}.
 */
public final class IoRuntime {
    /** Size of a network buffer; holds a request head or several stream events. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Buffers kept for reuse; further ones are allocated on demand. */
    private static final int MAXIMUM_POOLED_BUFFERS = 256;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;

    private IoRuntime(XnioWorker worker, ByteBufferPool buffers) {
        this.worker = worker;
        this.buffers = buffers;
    }

    /**
     * Starts the I/O threads.
     *
     * @param threads the number of I/O threads, at least 1
     * @throws IOException when the worker cannot be created
     */
    public static IoRuntime start(int threads) throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, threads)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.WORKER_NAME, "tamarackfold")
                        .getMap();
        XnioWorker worker = Xnio.getInstance().createWorker(options);
        return new IoRuntime(
                worker, new DefaultByteBufferPool(false, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, 0));
    }

    /** Returns the XNIO worker that runs the I/O threads, for servers that share them. */
    public XnioWorker worker() {
        return worker;
    }

    /** Returns the pool of network buffers; each buffer must be closed after use. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Returns the current thread when it is one of the I/O threads, and any of them otherwise. */
    public XnioIoThread ioThread() {
        XnioIoThread current = XnioIoThread.currentThread();
        return current != null && current.getWorker() == worker ? current : worker.getIoThread();
    }

    /** Runs an action on an I/O thread after a delay, at least 1 ms; the key cancels it. */
    public XnioIoThread.Key after(Duration delay, Runnable action) {
        return ioThread()
                .executeAfter(action, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    /** Stops the I/O threads without waiting for exchanges in progress. */
    public void stop() {
        worker.shutdownNow();
    }
}
