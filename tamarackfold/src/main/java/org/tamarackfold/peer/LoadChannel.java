package org.tamarackfold.peer;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.endpoint.cost.LoadReport;
import org.tamarackfold.endpoint.cost.LoadTotals;

/** Sends reports of load to other entry hosts. */
public interface LoadChannel {
    /**
     * Sends a report; the future holds the totals, or on the left the reason why there are none. It
     * never fails.
     */
    CompletableFuture<Either<String, LoadTotals>> send(
            EntryHost aggregatingHost, LoadReport report);
}
