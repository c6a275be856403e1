package org.tamarackfold.transport;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives the body of a request, and asks for it where the client waits for that. Used on the I/O
 * thread of the exchange only.
 */
public final class RequestBody {
    /** Why a body is not received. */
    public sealed interface Failure {
        /**
         * The bytes are outside of the grammar of HTTP.
         *
         * @param reason what is malformed, for logs
         */
        record Malformed(String reason) implements Failure {}

        /** The body is longer than the receiver accepts. */
        record TooLarge() implements Failure {}

        /** The receiver has no memory for the body. */
        record NoMemory() implements Failure {}

        /** No byte has arrived for {@link HttpListeners#BODY_TIMEOUT}. */
        record Stopped() implements Failure {}

        /**
         * The connection has ended.
         *
         * @param reason the cause, for logs
         */
        record ConnectionLost(String reason) implements Failure {}
    }

    /** Gets the body or learns why there is none; called once. */
    public interface Receiver {
        /** Returns whether the receiver has memory for so many bytes of the body. */
        default boolean mayKeep(long bytes) {
            return true;
        }

        /** Called with the whole body. */
        void onBody(byte[] body);

        /** Called when the body is not received; no more of it is read. */
        void onFailure(Failure failure);
    }

    private final HttpServerExchange exchange;
    private final RequestInput request;
    private final RequestInputConduit input;
    private final long maximumBytes;
    private final Receiver receiver;
    private BodyBuffer received = new BodyBuffer();
    private StreamSourceChannel channel;
    private boolean ended;

    private RequestBody(HttpServerExchange exchange, long maximumBytes, Receiver receiver) {
        this.exchange = exchange;
        this.request = RequestInput.of(exchange);
        this.input = request.conduit();
        this.maximumBytes = maximumBytes;
        this.receiver = receiver;
    }

    /**
     * Receives a body. The exchange must have been dispatched, since Undertow ends it otherwise.
     *
     * @param maximumBytes the longest body that is accepted, in bytes
     */
    public static RequestBody receive(
            HttpServerExchange exchange, long maximumBytes, Receiver receiver) {
        RequestBody body = new RequestBody(exchange, maximumBytes, receiver);
        body.start();
        return body;
    }

    /** Receives a body of any length; a request whose body fails is rejected. */
    public static void receive(HttpServerExchange exchange, Consumer<byte[]> onBody) {
        receive(exchange, Long.MAX_VALUE, onBody);
    }

    /** Receives a body of limited length; a request whose body fails is rejected. */
    public static void receive(
            HttpServerExchange exchange, long maximumBytes, Consumer<byte[]> onBody) {
        receive(
                exchange,
                maximumBytes,
                new Receiver() {
                    @Override
                    public void onBody(byte[] body) {
                        onBody.accept(body);
                    }

                    @Override
                    public void onFailure(Failure failure) {
                        reject(exchange, failure);
                    }
                });
    }

    /** Answers a request whose body was not received, and closes its connection. */
    public static void reject(HttpServerExchange exchange, Failure failure) {
        exchange.setStatusCode(
                switch (failure) {
                    case Failure.Malformed(String _) -> StatusCodes.BAD_REQUEST;
                    case Failure.ConnectionLost(String _) -> StatusCodes.BAD_REQUEST;
                    case Failure.NoMemory() -> StatusCodes.SERVICE_UNAVAILABLE;
                    case Failure.TooLarge() -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
                    case Failure.Stopped() -> StatusCodes.REQUEST_TIME_OUT;
                });
        exchange.setPersistent(false);
        ResponseWriter.sendBody(exchange, new byte[0]);
    }

    /** Returns whether the body was received, or will not be. */
    public boolean hasEnded() {
        return ended;
    }

    /** Reads no more of the body, and frees what has been received. */
    public void cancel() {
        if (ended) {
            return;
        }
        stop();
        request.discardRest();
    }

    private void start() {
        input.readBody(this::fail);
        try {
            if (request.expectsContinue()) {
                input.sendContinue();
            }
        } catch (IOException e) {
            fail(new Failure.ConnectionLost(String.valueOf(e.getMessage())));
            return;
        }
        channel = exchange.getRequestChannel();
        channel.getReadSetter().set(unused -> readArrived());
        readArrived();
    }

    private void readArrived() {
        try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
            while (!ended && readPart(pooled.getBuffer())) {}
        } catch (IOException e) {
            fail(new Failure.ConnectionLost(String.valueOf(e.getMessage())));
        }
    }

    /** Returns whether more may have arrived. */
    private boolean readPart(ByteBuffer buffer) throws IOException {
        int count = channel.read(buffer.clear());
        if (count < 0) {
            byte[] body = received.drain();
            stop();
            receiver.onBody(body);
            return false;
        }
        if (count == 0) {
            channel.resumeReads();
            return false;
        }
        if (received.size() + (long) count > maximumBytes) {
            fail(new Failure.TooLarge());
            return false;
        }
        if (!receiver.mayKeep(received.size() + count)) {
            fail(new Failure.NoMemory());
            return false;
        }
        received.append(buffer.flip());
        return true;
    }

    private void fail(Failure failure) {
        if (ended) {
            return;
        }
        stop();
        receiver.onFailure(failure);
    }

    private void stop() {
        ended = true;
        received = new BodyBuffer();
        input.readBody(unused -> {});
        if (channel != null) {
            channel.suspendReads();
        }
    }
}
