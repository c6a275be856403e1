package org.tamarackfold.keyvalue;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.errors.FailureCode;
import org.tamarackfold.errors.Party;
import org.tamarackfold.errors.Step;

/**
 * Sends requests to the key-value service whose result decides what is done next. An unexpected
 * exception or error, such as one for want of memory, counts as a failure of the request: without a
 * result a watch or a registration would end for good.
 */
final class ContainedRequest {
    private ContainedRequest() {}

    /** Sends a request and hands on its result, or the failure in place of an error. */
    static <T> void send(
            Supplier<CompletableFuture<Either<Failure, T>>> request,
            Consumer<Either<Failure, T>> onResult) {
        CompletableFuture<Either<Failure, T>> response;
        try {
            response = request.get();
        } catch (RuntimeException | Error e) {
            response = CompletableFuture.failedFuture(e);
        }
        response.exceptionally(error -> Either.left(failure(error))).thenAccept(onResult);
    }

    private static Failure failure(Throwable error) {
        return Failure.unknown(
                FailureCode.SERVICE_UNAVAILABLE,
                Step.CONNECT,
                new Party.KeyValueService(),
                "unexpected error: " + error);
    }
}
