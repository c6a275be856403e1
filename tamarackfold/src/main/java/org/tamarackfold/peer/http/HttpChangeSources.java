package org.tamarackfold.peer.http;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import org.tamarackfold.keyvalue.relay.ChangeSources;
import org.tamarackfold.keyvalue.relay.ChangesReply;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.thrift.ChangesCodec;

/** Asks other entry hosts for changes over HTTP, and answers such questions. */
public final class HttpChangeSources implements ChangeSources {
    /** Path of the questions at the peer address. */
    public static final String PATH = "/changes";

    private final EntryHostMessages messages;

    /** Creates a sender of questions. */
    public HttpChangeSources(EntryHostMessages messages) {
        this.messages = messages;
    }

    /**
     * Returns a handler of questions.
     *
     * @param changesSince returns the reply to a question for the changes after a revision
     */
    public static EntryMessageHandler handler(LongFunction<ChangesReply> changesSince) {
        return new EntryMessageHandler(
                message ->
                        ChangesCodec.encode(
                                changesSince.apply(ChangesCodec.decodeRequest(message))));
    }

    @Override
    public CompletableFuture<Either<String, ChangesReply>> ask(
            EntryHost source, long afterRevision, Duration timeout) {
        return messages.send(
                        source.peerAddress(),
                        PATH,
                        ChangesCodec.encodeRequest(afterRevision),
                        timeout)
                .thenApply(reply -> reply.flatMap(HttpChangeSources::decode));
    }

    private static Either<String, ChangesReply> decode(byte[] reply) {
        try {
            return Either.right(ChangesCodec.decodeReply(reply));
        } catch (IllegalArgumentException e) {
            return Either.left("malformed reply: " + e.getMessage());
        }
    }
}
