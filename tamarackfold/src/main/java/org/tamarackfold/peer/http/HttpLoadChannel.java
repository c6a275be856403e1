package org.tamarackfold.peer.http;

import io.undertow.server.HttpHandler;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.endpoint.cost.LoadAggregate;
import org.tamarackfold.endpoint.cost.LoadReport;
import org.tamarackfold.endpoint.cost.LoadTotals;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.LoadChannel;
import org.tamarackfold.peer.thrift.LoadCodec;

/** Sends reports of load as messages between entry hosts, and answers those of others. */
public final class HttpLoadChannel implements LoadChannel {
    /** Path of the messages. */
    public static final String PATH = "/load";

    /** Totals that arrive later are as old as those of the next report. */
    private static final Duration TIMEOUT = Duration.ofMillis(250);

    private final EntryHostMessages messages;

    /** Creates a channel. */
    public HttpLoadChannel(EntryHostMessages messages) {
        this.messages = messages;
    }

    @Override
    public CompletableFuture<Either<String, LoadTotals>> send(
            EntryHost aggregatingHost, LoadReport report) {
        return messages.send(aggregatingHost.peerAddress(), PATH, LoadCodec.encode(report), TIMEOUT)
                .thenApply(reply -> reply.flatMap(HttpLoadChannel::decode));
    }

    private static Either<String, LoadTotals> decode(byte[] bytes) {
        return Try.of(() -> LoadCodec.decodeTotals(bytes)).toEither().mapLeft(String::valueOf);
    }

    /** Returns the handler that adds the reports of other hosts to the aggregate of this one. */
    public static HttpHandler handler(LoadAggregate aggregate) {
        return new EntryMessageHandler(
                message ->
                        LoadCodec.encode(
                                aggregate.add(LoadCodec.decodeReport(message), System.nanoTime())));
    }
}
