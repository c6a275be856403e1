package org.tamarackfold.keyvalue;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.errors.Failure;

/**
 * Port to the key-value service. A failure with fate {@code UNKNOWN} means that a write may have
 * taken effect or may take effect later. The futures themselves never fail.
 */
public interface KeyValueService {
    /**
     * A stored value.
     *
     * @param key the key
     * @param value the value
     * @param revision the revision of its last change
     */
    record Item(String key, byte[] value, long revision) {}

    /**
     * All items under a prefix.
     *
     * @param items the items
     * @param asOf the revision from which to watch
     */
    record Listing(Vector<Item> items, long asOf) {}

    /** A change of a key. */
    sealed interface Change {
        /**
         * The key was written.
         *
         * @param item the item
         */
        record Written(Item item) implements Change {}

        /**
         * The key was removed.
         *
         * @param key the key
         * @param revision the revision of the removal
         */
        record Removed(String key, long revision) implements Change {}
    }

    /** Result of a watch. */
    sealed interface WatchResult {
        /**
         * Changes since the given revision, possibly none.
         *
         * @param changes the changes in order
         * @param asOf the revision from which to continue
         */
        record Changes(Vector<Change> changes, long asOf) implements WatchResult {}

        /** The history since the given revision is no longer available. */
        record HistoryLost() implements WatchResult {}
    }

    /**
     * The revision that a key must have; 0 when it must be absent.
     *
     * @param key the key
     * @param revision the revision
     */
    record Expectation(String key, long revision) {}

    /**
     * A value to write.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease with which it vanishes; 0 for none
     */
    record Put(String key, byte[] value, long lease) {}

    /** Result of a transaction. */
    sealed interface WriteResult {
        /**
         * All changes were made.
         *
         * @param revision their revision
         */
        record Written(long revision) implements WriteResult {}

        /** An expectation did not hold; nothing was changed. */
        record Conflict() implements WriteResult {}

        /** The lease has ended; nothing was changed. */
        record LeaseEnded() implements WriteResult {}
    }

    /** Reads a key. */
    CompletableFuture<Either<Failure, Option<Item>>> read(String key);

    /** Lists all items under a prefix. */
    CompletableFuture<Either<Failure, Listing>> list(String prefix);

    /** Waits for changes under a prefix after a revision. */
    CompletableFuture<Either<Failure, WatchResult>> watch(String prefix, long after, Duration wait);

    /** Makes all changes if all expectations hold. */
    CompletableFuture<Either<Failure, WriteResult>> write(
            Seq<Expectation> expectations, Seq<Put> puts, Seq<String> removals);

    /** Creates a lease; returns its number. */
    CompletableFuture<Either<Failure, Long>> grantLease(Duration duration);

    /** Renews a lease; returns false when it has ended. */
    CompletableFuture<Either<Failure, Boolean>> renewLease(long lease);

    /** Ends a lease and removes its keys. */
    CompletableFuture<Either<Failure, Boolean>> endLease(long lease);
}
