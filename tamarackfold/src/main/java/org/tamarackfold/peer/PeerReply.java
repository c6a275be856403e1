package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.StoreId;

/** The reply of a storage host. */
public sealed interface PeerReply {
    /** Done, and durable where that matters. */
    record Done() implements PeerReply {}

    /** The budget does not hold the reservation. */
    record Exhausted() implements PeerReply {}

    /**
     * The history of a turn.
     *
     * @param text the history
     */
    record Found(byte[] text) implements PeerReply {}

    /** No such turn exists. */
    record Absent() implements PeerReply {}

    /** The receiver is not the primary of the shard. */
    record NotPrimary() implements PeerReply {}

    /**
     * The receiver knows a later epoch, or is about to start one.
     *
     * @param epoch the epoch that it knows
     */
    record Stale(Epoch epoch) implements PeerReply {}

    /**
     * No certain answer could be had.
     *
     * @param reason for logs
     */
    record Unavailable(String reason) implements PeerReply {}

    /**
     * The receiver could not be reached or did not answer in time.
     *
     * @param reason for logs
     */
    record Unreachable(String reason) implements PeerReply {}

    /**
     * Records of a member whose shard is taken over.
     *
     * @param records one batch
     * @param batches the number of batches
     */
    record Collected(Seq<StoredRecord> records, int batches) implements PeerReply {}

    /**
     * The receiver is alive.
     *
     * @param store the store that it holds
     */
    record Alive(StoreId store) implements PeerReply {}
}
