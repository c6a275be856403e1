package org.tamarackfold.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Prepares the bytes of responses for Undertow's client. Checks heads, the framing of chunks and
 * trailers: what fails a check does not reach the client, which would take some of it for another
 * response than was sent. Removes interim heads, which the client takes for the final one, except
 * those with status 100. Limits the bytes in a row that belong to no body: heads, the framing of
 * chunks, trailers, and what follows a response. The client has no such limit: bytes without end
 * would fill the memory and, since it parses as long as there are any, occupy the I/O thread. Used
 * on one I/O thread only.
 */
final class ResponseInputConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** More than the heads of well-known servers, whose own limits are 8 to 64 KiB. */
    private static final long MAXIMUM_BYTES_WITHOUT_BODY = 64 * 1024;

    private final ResponseHeadCheck heads = new ResponseHeadCheck();
    private final InterimHeadFilter interimHeads = new InterimHeadFilter();
    private final ChunkFramingCheck chunks = new ChunkFramingCheck();

    /** Bytes received since the response began or the last part of its body was read. */
    private long bytesWithoutBody;

    ResponseInputConduit(StreamSourceConduit next) {
        super(next);
    }

    /**
     * Expects a response.
     *
     * @param respondsToHead whether the request has the method HEAD
     */
    void startResponse(boolean respondsToHead) {
        bytesWithoutBody = 0;
        heads.startResponse(respondsToHead);
        interimHeads.startResponse();
        chunks.expectNothing();
    }

    /** Returns how the body of the response is framed, after its final head was read. */
    BodyFraming framing() {
        return heads.framing();
    }

    /** Reports that a part of the body was read. */
    void onBodyPart() {
        bytesWithoutBody = 0;
    }

    /**
     * Returns whether anything has arrived while no response is expected: the end of the
     * connection, or bytes that belong to no response. Such a connection is of no further use.
     */
    boolean hasUnexpectedInput() {
        try {
            return super.read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            // The server has reset the connection.
            return true;
        }
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        return interimHeads.isFinalHeadReached() ? readChecked(buffer) : readHeads(buffer);
    }

    /** Returns 0 when only bytes of interim heads have arrived. */
    private int readHeads(ByteBuffer buffer) throws IOException {
        int offset = buffer.position();
        buffer.put(interimHeads.takeUndecided());
        int count = readChecked(buffer);
        if (count <= 0) {
            interimHeads.holdBack(buffer, offset);
            return count;
        }
        interimHeads.removeInterimHeads(buffer, offset);
        return buffer.position() - offset;
    }

    /** Reads bytes of the server and checks them, before any of them are removed. */
    private int readChecked(ByteBuffer buffer) throws IOException {
        int offset = buffer.position();
        int count = super.read(buffer);
        checkLimit(count);
        boolean headExpected = !heads.isComplete();
        int afterHead = heads.check(buffer, offset);
        if (headExpected && heads.isComplete() && framing() instanceof BodyFraming.Chunks) {
            chunks.startBody();
        }
        chunks.check(buffer, afterHead);
        return count;
    }

    /** Fills one buffer only, so that all bytes are checked in their order. */
    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        return read(firstWithSpace(buffers, offset, length));
    }

    private static ByteBuffer firstWithSpace(ByteBuffer[] buffers, int offset, int length) {
        for (int i = offset; i < offset + length - 1; i++) {
            if (buffers[i].hasRemaining()) {
                return buffers[i];
            }
        }
        return buffers[offset + length - 1];
    }

    private void checkLimit(long count) throws IOException {
        if (count <= 0) {
            return;
        }
        bytesWithoutBody += count;
        if (bytesWithoutBody > MAXIMUM_BYTES_WITHOUT_BODY) {
            throw new MalformedMessageException(
                    "more than "
                            + MAXIMUM_BYTES_WITHOUT_BODY
                            + " bytes in a row belong to no response body");
        }
    }
}
