package org.tamarackfold.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server sends before the head of a response is complete. Undertow's client
 * has no limit: bytes without end would fill the memory and, since it parses as long as there are
 * any, occupy the I/O thread. Used on one I/O thread only.
 */
final class HeadLimitConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** More than the heads of well-known servers, whose own limits are 8 to 64 KiB. */
    private static final long MAXIMUM_HEAD_BYTES = 64 * 1024;

    private boolean limited = true;
    private long headBytes;

    HeadLimitConduit(StreamSourceConduit next) {
        super(next);
    }

    /** Starts to count the bytes of a head. */
    void startHead() {
        limited = true;
        headBytes = 0;
    }

    /** Ends the limit: what follows is the body. */
    void endHead() {
        limited = false;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int count = super.read(buffer);
        checkLimit(count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        long count = super.read(buffers, offset, length);
        checkLimit(count);
        return count;
    }

    private void checkLimit(long count) throws IOException {
        if (!limited || count <= 0) {
            return;
        }
        headBytes += count;
        if (headBytes > MAXIMUM_HEAD_BYTES) {
            throw new IOException("response head is longer than " + MAXIMUM_HEAD_BYTES + " bytes");
        }
    }
}
