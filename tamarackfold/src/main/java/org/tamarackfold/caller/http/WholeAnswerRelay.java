package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.tamarackfold.transport.ResponseWriter;

/**
 * Sends an answer to the caller once all of it has arrived, so that a broken one can be retried.
 */
final class WholeAnswerRelay implements AnswerRelay {
    private final HttpServerExchange exchange;
    private final int status;
    private final HeaderMap headers;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(1024);
    private boolean started;

    WholeAnswerRelay(HttpServerExchange exchange, int status, HeaderMap headers) {
        this.exchange = exchange;
        this.status = status;
        this.headers = headers;
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        body.writeBytes(chunk);
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
    public boolean isWhole() {
        return true;
    }

    @Override
    public void finish() {
        started = true;
        byte[] bytes = body.toByteArray();
        exchange.setStatusCode(status);
        ForwardedHeaders.towardsCaller(headers, exchange.getResponseHeaders());
        exchange.setResponseContentLength(bytes.length);
        ResponseWriter writer = new ResponseWriter(exchange, () -> {});
        writer.write(bytes);
        writer.end();
    }

    @Override
    public void abort() {
        org.xnio.IoUtils.safeClose(exchange.getConnection());
    }
}
