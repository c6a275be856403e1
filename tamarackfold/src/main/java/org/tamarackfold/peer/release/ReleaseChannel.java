package org.tamarackfold.peer.release;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;

/** Sends messages about releases to other entry hosts. */
public interface ReleaseChannel {
    /**
     * Sends a message; the future never fails and holds the reply, or on the left the reason why
     * there is none.
     */
    CompletableFuture<Either<String, ReleaseMessage>> send(
            Address peerAddress, ReleaseMessage message, Duration timeout);
}
