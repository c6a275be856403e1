package org.tamarackfold.keyvalue.relay;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.peer.EntryHost;

/** Asks other entry hosts for changes. */
public interface ChangeSources {
    /**
     * Asks a host for the changes after a revision; left is the reason why there is no reply.
     *
     * @param timeout the time after which the reply is not awaited any longer
     */
    CompletableFuture<Either<String, ChangesReply>> ask(
            EntryHost source, long afterRevision, Duration timeout);
}
