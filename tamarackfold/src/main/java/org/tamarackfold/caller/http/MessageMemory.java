package org.tamarackfold.caller.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of messages that a host keeps at the same time. Of requests these are the bodies
 * of calls in progress; of responses, parts that are buffered until the response is complete, and
 * parts that wait for a slow caller. Without a common bound, a limit for each message lets many of
 * them fill the heap. Thread-safe.
 */
public final class MessageMemory {
    /** Bytes that each message may keep although the bound is reached; a usual one needs less. */
    static final long GUARANTEED_BYTES = 32 * 1024;

    /** The bound of responses is this fraction of the heap. */
    private static final int RESPONSE_DIVISOR = 8;

    /** The bound of requests is this fraction of the heap; a body that is sent is copied once. */
    private static final int REQUEST_DIVISOR = 4;

    private final long limitBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /**
     * Creates a bound without any bytes in use.
     *
     * @param limitBytes the bytes that all messages together may keep
     */
    public MessageMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a bound of requests that is a fraction of the heap of this process. */
    public static MessageMemory ofRequests() {
        return new MessageMemory(Runtime.getRuntime().maxMemory() / REQUEST_DIVISOR);
    }

    /** Creates a bound of responses that is a fraction of the heap of this process. */
    public static MessageMemory ofResponses() {
        return new MessageMemory(Runtime.getRuntime().maxMemory() / RESPONSE_DIVISOR);
    }

    /** Returns the bytes that messages keep now. */
    public long usedBytes() {
        return usedBytes.get();
    }

    /** Opens the account of one message. */
    Account open() {
        return new Account();
    }

    /** The bytes that one message keeps. Used on one I/O thread only. */
    final class Account {
        private long bytes;
        private boolean closed;

        /**
         * Sets the number of bytes; returns whether the message may keep so many. Has no effect
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
