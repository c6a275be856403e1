package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.StoreId;

/** The reply of a host to a {@link PeerRequest}. */
public sealed interface PeerReply {
    /** The request succeeded; records that it carried are durable. */
    record Done() implements PeerReply {}

    /** The history of a turn is durable, and so is the settlement that came with it. */
    record Settled() implements PeerReply {}

    /**
     * The reservation succeeded, and the origin of the stream is durable.
     *
     * @param origin the origin that the request recorded or read
     */
    record Reserved(StreamOrigin origin) implements PeerReply {}

    /** The reservation would exceed the token budget, whatever unfinished turns use. */
    record Exhausted() implements PeerReply {}

    /**
     * The token budget does not cover the reservation unless other turns of the program, whose
     * outcome is not known yet, use less than they have reserved.
     */
    record Outstanding() implements PeerReply {}

    /**
     * The shard lacks the turn that a reservation names, or the call may not continue it. The
     * request has reserved nothing.
     *
     * @param mayBeReserved whether an earlier attempt may have reserved tokens; set by the sender
     */
    record NoSuchTurn(boolean mayBeReserved) implements PeerReply {}

    /**
     * The history of a turn was found.
     *
     * @param history the inputs and outputs of the turn and all turns before it
     */
    record Found(History history) implements PeerReply {}

    /** The shard has no such turn, or the call may not continue it. */
    record Absent() implements PeerReply {}

    /** The receiver is not the primary of the shard. */
    record NotPrimary() implements PeerReply {}

    /**
     * The epoch of the request has ended at the receiver, which knows a later one or prepares it.
     *
     * @param epoch the highest epoch that the receiver knows
     */
    record Stale(Epoch epoch) implements PeerReply {}

    /**
     * The receiver could not process the request, or could not confirm its result. The request may
     * have taken effect.
     *
     * @param reason the cause, for logs
     */
    record Unavailable(String reason) implements PeerReply {}

    /**
     * The receiver could not be reached or did not reply in time; produced by the sender.
     *
     * @param reason the cause, for logs
     */
    record Unreachable(String reason) implements PeerReply {}

    /**
     * The request has not run, and will not: the receiver already has as many requests as it can
     * answer in time, so that the sender has not sent it, or the receiver has no memory or disk
     * space for new turns.
     *
     * @param reason the state of the queue or of the receiver, for logs
     */
    record Overloaded(String reason) implements PeerReply {}

    /**
     * One batch of the records of a shard, for a host that takes over the shard.
     *
     * @param records the records of the requested batch
     * @param batches the total number of batches
     */
    record Collected(Seq<StoredRecord> records, int batches) implements PeerReply {}

    /**
     * The receiver is alive.
     *
     * @param store the identity of its data files
     */
    record Alive(StoreId store) implements PeerReply {}
}
