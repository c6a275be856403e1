package org.tamarackfold.keyvalue;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.errors.Failure;

/**
 * Client interface of the key-value service. The futures never complete exceptionally; left is the
 * failure. After a failure with execution status {@code UNKNOWN}, a write may have taken effect or
 * may still take effect.
 */
public interface KeyValueService {
    /**
     * A stored key-value pair.
     *
     * @param revision the revision of the last write of the key
     */
    record Item(String key, byte[] value, long revision) {}

    /**
     * All items under a prefix.
     *
     * @param asOf the revision after which to watch for changes
     */
    record Listing(Vector<Item> items, long asOf) {}

    /** A write or removal of a key. */
    sealed interface Change {
        /** Returns the key that was written or removed. */
        String key();

        /** Returns the revision of the write or removal. */
        long revision();

        /**
         * The key was written.
         *
         * @param item the new state of the key
         */
        record Written(Item item) implements Change {
            @Override
            public String key() {
                return item.key();
            }

            @Override
            public long revision() {
                return item.revision();
            }
        }

        /**
         * The key was removed by a transaction or because its lease ended.
         *
         * @param revision the revision of the removal
         */
        record Removed(String key, long revision) implements Change {}
    }

    /** Result of a watch. */
    sealed interface WatchResult {
        /**
         * Changes since the given revision, possibly none.
         *
         * @param changes in the order of revisions
         * @param asOf the revision after which to continue the watch
         */
        record Changes(Vector<Change> changes, long asOf) implements WatchResult {}

        /** The changes since the given revision are no longer available; list the prefix again. */
        record ChangesUnavailable() implements WatchResult {}
    }

    /**
     * Precondition of a transaction: the current revision of a key.
     *
     * @param revision the revision of the last write; 0 when the key must be absent
     */
    record Precondition(String key, long revision) {}

    /**
     * A value to write.
     *
     * @param lease the lease that the key depends on: the key is removed when it ends; 0 for none
     */
    record Put(String key, byte[] value, long lease) {}

    /** Result of a transaction. */
    sealed interface WriteResult {
        /**
         * The transaction was committed.
         *
         * @param revision the revision of its writes
         */
        record Written(long revision) implements WriteResult {}

        /** A precondition did not hold; nothing was changed. */
        record Conflict() implements WriteResult {}

        /** The lease of a value does not exist or has ended; nothing was changed. */
        record LeaseEnded() implements WriteResult {}
    }

    /** Reads a key; none when it is absent. */
    CompletableFuture<Either<Failure, Option<Item>>> read(String key);

    /** Lists all items under a prefix. */
    CompletableFuture<Either<Failure, Listing>> list(String prefix);

    /**
     * Waits for changes under a prefix after a revision, at most for the given time; {@code
     * Duration.ZERO} returns at once.
     */
    CompletableFuture<Either<Failure, WatchResult>> watch(
            String prefix, long afterRevision, Duration wait);

    /** Commits all puts and removals in one transaction if all preconditions hold. */
    CompletableFuture<Either<Failure, WriteResult>> write(
            Seq<Precondition> preconditions, Seq<Put> puts, Seq<String> removals);

    /** Creates a lease that ends unless it is renewed within the given time; returns its id. */
    CompletableFuture<Either<Failure, Long>> grantLease(Duration duration);

    /** Renews a lease for its full duration; returns false when it has ended. */
    CompletableFuture<Either<Failure, Boolean>> renewLease(long lease);

    /** Ends a lease and removes its keys; returns false when it had already ended. */
    CompletableFuture<Either<Failure, Boolean>> endLease(long lease);
}
