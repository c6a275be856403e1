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
 * The pool of I/O threads that all listeners and clients of a process share. The I/O threads are
 * the workers: a call stays on the thread of its connection, and the shared tables are locked by
 * rank.
 */
public final class IoRuntime {
    /** Size of a network buffer, in bytes; one buffer holds a request head or several events. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Buffers kept for reuse; more are allocated when needed. */
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

    /** Returns the underlying worker. */
    public XnioWorker worker() {
        return worker;
    }

    /** Returns the buffer pool. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Returns the I/O thread of the current thread, or another one outside of the pool. */
    public XnioIoThread thread() {
        XnioIoThread current = XnioIoThread.currentThread();
        return current != null && current.getWorker() == worker ? current : worker.getIoThread();
    }

    /** Runs an action on an I/O thread after a delay; the key cancels it. */
    public XnioIoThread.Key after(Duration delay, Runnable action) {
        return thread().executeAfter(action, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    /** Stops the I/O threads. */
    public void stop() {
        worker.shutdownNow();
    }
}
