package org.tamarackfold.caller.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of responses that a host keeps at the same time: parts that are buffered until
 * the response is complete, and parts that wait for a slow caller. Without a common bound, a limit
 * for each response lets many faulty ones fill the heap. Thread-safe.
 */
public final class ResponseMemory {
    /** Bytes that each response may keep although the bound is reached; a usual one needs less. */
    static final long GUARANTEED_BYTES = 32 * 1024;

    /**
     * The bound is this fraction of the heap. Growing buffers take up to three times the size of
     * their content, and the rest of the heap is for requests and tables.
     */
    private static final int HEAP_DIVISOR = 8;

    private final long limitBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /**
     * Creates a bound without any bytes in use.
     *
     * @param limitBytes the bytes that all responses together may keep
     */
    public ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a bound that is a fraction of the heap of this process. */
    public static ResponseMemory ofHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Returns the bytes that responses keep now. */
    public long usedBytes() {
        return usedBytes.get();
    }

    /** Opens the account of one response. */
    Account open() {
        return new Account();
    }

    /** The bytes that one response keeps. Used on one I/O thread only. */
    final class Account {
        private long bytes;
        private boolean closed;

        /**
         * Sets the number of bytes; returns whether the response may keep so many. Has no effect
         * once the account is closed.
         */
        boolean resize(long next) {
            if (closed) {
                return true;
            }
            long total = usedBytes.addAndGet(next - bytes);
            bytes = next;
            return next <= GUARANTEED_BYTES || total <= limitBytes;
        }

        /** Gives all bytes back. May be called more than once. */
        void close() {
            resize(0);
            closed = true;
        }
    }
}
