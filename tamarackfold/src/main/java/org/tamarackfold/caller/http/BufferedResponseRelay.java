package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import org.tamarackfold.transport.BodyBuffer;

/**
 * Buffers a response and sends it to the caller when it is complete, so that a call whose response
 * is truncated can be retried. A response that outgrows the buffer, or for which the memory of
 * responses does not suffice, is sent on as it arrives, at the pace of the caller.
 */
final class BufferedResponseRelay implements ResponseRelay {
    /** Size up to which a response is buffered. */
    private static final int MAXIMUM_BUFFERED_BYTES = 256 * 1024;

    private final HeaderMap headers;
    private final PacedResponse response;
    private final BodyBuffer body = new BodyBuffer();

    BufferedResponseRelay(PacedResponse response, HeaderMap headers) {
        this.response = response;
        this.headers = headers;
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        body.append(bytes);
        if (!response.started()
                && response.keep(body.size())
                && body.size() <= MAXIMUM_BUFFERED_BYTES) {
            return;
        }
        response.start(Option.of(headers.getFirst(Headers.CONTENT_LENGTH)));
        response.write(body.drain());
        response.keep(0);
    }

    @Override
    public int status() {
        return response.status();
    }

    @Override
    public boolean started() {
        return response.started();
    }

    @Override
    public boolean isComplete() {
        return true;
    }

    @Override
    public boolean isTooLong() {
        return false;
    }

    @Override
    public void finish() {
        byte[] rest = body.drain();
        response.start(Option.some(Integer.toString(rest.length)));
        response.write(rest);
        response.end();
    }

    @Override
    public void abort() {
        response.abort();
    }

    @Override
    public void release() {
        response.release();
    }
}
