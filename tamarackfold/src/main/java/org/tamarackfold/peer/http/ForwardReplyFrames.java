package org.tamarackfold.peer.http;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.thrift.ForwardCodec;
import org.tamarackfold.transport.BodyBuffer;

/**
 * The replies to a forwarded call in the body of an HTTP response: each one is preceded by its
 * length in four bytes. Decodes those of one response; the bytes after a head are not decoded.
 */
public final class ForwardReplyFrames {
    private static final int LENGTH_BYTES = 4;

    /** More than the longest head of a response, which has 64 KiB. */
    private static final int MAXIMUM_FRAME_BYTES = 256 * 1024;

    private final BodyBuffer received = new BodyBuffer();

    /** Encodes a reply with its length. */
    public static byte[] encode(ForwardReply reply) {
        byte[] message = ForwardCodec.encode(reply);
        return ByteBuffer.allocate(LENGTH_BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    /**
     * Reads bytes up to the end of the next reply, which may have begun in earlier buffers; leaves
     * the bytes after it in the buffer.
     *
     * @return none when the reply is not complete yet; all bytes have been read then
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public Option<ForwardReply> read(ByteBuffer bytes) {
        if (!fillUpTo(LENGTH_BYTES, bytes)) {
            return Option.none();
        }
        int length = ByteBuffer.wrap(received.toByteArray()).getInt();
        if (length < 0 || length > MAXIMUM_FRAME_BYTES) {
            throw new IllegalArgumentException("Reply has a length of " + length + " bytes");
        }
        if (!fillUpTo(LENGTH_BYTES + length, bytes)) {
            return Option.none();
        }
        byte[] frame = received.drain();
        byte[] message = new byte[length];
        System.arraycopy(frame, LENGTH_BYTES, message, 0, length);
        return Option.some(ForwardCodec.decodeReply(message));
    }

    /** Reads until so many bytes have been received; returns whether they have. */
    private boolean fillUpTo(int count, ByteBuffer bytes) {
        int missing = count - received.size();
        if (missing <= 0) {
            return true;
        }
        ByteBuffer part = bytes.slice(bytes.position(), Math.min(missing, bytes.remaining()));
        bytes.position(bytes.position() + part.remaining());
        received.append(part);
        return received.size() >= count;
    }
}
