package org.tamarackfold.peer.http;

import io.undertow.server.HttpHandler;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.release.ReleaseChannel;
import org.tamarackfold.peer.release.ReleaseExchange;
import org.tamarackfold.peer.release.ReleaseMessage;
import org.tamarackfold.peer.thrift.ReleaseExchangeCodec;

/** Exchanges messages about releases with other entry hosts over HTTP. */
public final class HttpReleaseChannel implements ReleaseChannel {
    /** The path of messages about releases. */
    public static final String PATH = "/release";

    private static final StructuredLog LOG = StructuredLog.of("peer");

    private final EntryHostMessages messages;

    /** Creates a channel over the messages between entry hosts. */
    public HttpReleaseChannel(EntryHostMessages messages) {
        this.messages = messages;
    }

    /** Returns the handler of the messages of other hosts. */
    public static HttpHandler handler(ReleaseExchange exchange) {
        return new EntryMessageHandler(
                message ->
                        ReleaseExchangeCodec.encode(
                                exchange.reply(ReleaseExchangeCodec.decode(message))));
    }

    @Override
    public CompletableFuture<Either<String, ReleaseMessage>> send(
            Address peerAddress, ReleaseMessage message, Duration timeout) {
        return messages.send(peerAddress, PATH, ReleaseExchangeCodec.encode(message), timeout)
                .thenApply(reply -> reply.flatMap(body -> decode(peerAddress, body)));
    }

    private static Either<String, ReleaseMessage> decode(Address peerAddress, byte[] body) {
        try {
            return Either.right(ReleaseExchangeCodec.decode(body));
        } catch (IllegalArgumentException e) {
            LOG.event("message_malformed")
                    .with("path", PATH)
                    .with("peer", peerAddress)
                    .with("reason", e)
                    .warn();
            return Either.left("reply is malformed");
        }
    }
}
