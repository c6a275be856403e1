package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import org.tamarackfold.transport.BodyBuffer;
import org.tamarackfold.transport.ResponseWriter;
import org.xnio.IoUtils;

/**
 * Buffers a response and sends it to the caller when it is complete, so that a call whose response
 * is truncated can be retried.
 */
final class BufferedResponseRelay implements ResponseRelay {
    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final BodyBuffer body = new BodyBuffer();
    private boolean started;

    BufferedResponseRelay(HttpServerExchange exchange, int status, HeaderMap headers) {
        this.exchange = exchange;
        this.status = status;
        this.headers = headers;
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        body.append(bytes);
    }

    @Override
    public int status() {
        return status;
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean isComplete() {
        return true;
    }

    @Override
    public void finish() {
        started = true;
        exchange.setStatusCode(status);
        EndToEndHeaders.copyForCaller(headers, exchange.getResponseHeaders());
        ResponseWriter.sendBody(exchange, body.toByteArray());
    }

    @Override
    public void abort() {
        IoUtils.safeClose(exchange.getConnection());
    }
}
