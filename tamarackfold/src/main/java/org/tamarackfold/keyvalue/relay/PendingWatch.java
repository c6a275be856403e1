package org.tamarackfold.keyvalue.relay;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.keyvalue.KeyValueService;

/**
 * A watch that a watcher waits for. When both a source and the service were asked, the first result
 * counts: both begin after the same revision.
 *
 * @param afterRevision the revision that the watcher knows
 * @param longPoll the longest wait at the service
 * @param result completed once
 */
record PendingWatch(
        long afterRevision,
        Duration longPoll,
        CompletableFuture<Either<Failure, KeyValueService.WatchResult>> result) {
    boolean isDone() {
        return result.isDone();
    }
}
