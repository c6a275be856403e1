package org.tamarackfold.platform;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.errors.Failure;

/** Port to the key-value service of the platform. Every call counts against its rate. */
public interface KeyValueService {
    /** Largest value, in bytes. */
    int MAXIMUM_VALUE_BYTES = 1_000_000;

    /**
     * A stored value.
     *
     * @param value the value
     * @param revision the revision of the last write of this key, from 1
     */
    record Entry(byte[] value, long revision) {}

    /** Outcome of a compare-and-swap. */
    sealed interface SwapResult {
        /**
         * The value was written.
         *
         * @param revision the new revision
         */
        record Swapped(long revision) implements SwapResult {}

        /**
         * Another write came first.
         *
         * @param current the current value
         */
        record Conflict(Option<Entry> current) implements SwapResult {}
    }

    /** Reads a key. */
    CompletableFuture<Either<Failure, Option<Entry>>> read(String key);

    /**
     * Writes a key if its revision is the expected one; 0 stands for an absent key. A failure with
     * fate {@code UNKNOWN} means that the write may have taken effect.
     */
    CompletableFuture<Either<Failure, SwapResult>> compareAndSwap(
            String key, long expectedRevision, byte[] value);

    /**
     * Writes a key that vanishes unless it is written again within the lease duration; fails like
     * {@link #compareAndSwap}.
     */
    CompletableFuture<Either<Failure, SwapResult>> lease(
            String key, long expectedRevision, byte[] value, Duration duration);

    /**
     * Waits until the revision of a key exceeds the known one, or the wait has passed; then reads
     * the key.
     */
    CompletableFuture<Either<Failure, Option<Entry>>> watch(
            String key, long knownRevision, Duration wait);
}
