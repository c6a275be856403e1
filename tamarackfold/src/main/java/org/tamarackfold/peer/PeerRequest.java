package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import java.time.Duration;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/** A message from one host to a storage host. */
public sealed interface PeerRequest {
    /**
     * Reserves tokens for a turn; sent to the primary.
     *
     * @param shard the shard of the program
     * @param program the program
     * @param call the turn
     * @param tokens the most that the turn generates
     * @param budgetTokens the most that the program generates
     */
    record Reserve(ShardId shard, ProgramId program, CallId call, long tokens, long budgetTokens)
            implements PeerRequest {}

    /**
     * Replaces a reservation by the tokens used; sent to the primary.
     *
     * @param shard the shard of the program
     * @param program the program
     * @param call the turn
     * @param tokens the tokens that reached the caller
     */
    record Settle(ShardId shard, ProgramId program, CallId call, long tokens)
            implements PeerRequest {}

    /**
     * Reads the history of a turn; sent to the primary.
     *
     * @param shard the shard of the turn
     * @param call the turn
     */
    record LookUp(ShardId shard, CallId call) implements PeerRequest {}

    /**
     * Stores the history of a turn; sent to the primary.
     *
     * @param shard the shard of the turn
     * @param call the turn
     * @param text the history
     * @param retention how long it is kept
     */
    record Store(ShardId shard, CallId call, byte[] text, Duration retention)
            implements PeerRequest {}

    /**
     * Copies records; sent by the primary of an epoch to the other members.
     *
     * @param shard the shard
     * @param epoch the epoch of the sender
     * @param target the store that the sender means; another one rejects the message
     * @param records the records
     */
    record Append(ShardId shard, Epoch epoch, StoreId target, Seq<StoredRecord> records)
            implements PeerRequest {}

    /**
     * Copies records to a host that is to hold all of them; valid under any epoch, because the
     * sender counts it towards no confirmation.
     *
     * @param shard the shard
     * @param target the store that the sender means; another one rejects the message
     * @param records the records
     */
    record Copy(ShardId shard, StoreId target, Seq<StoredRecord> records) implements PeerRequest {}

    /**
     * Asks a member for its records before another member takes a shard over. The receiver accepts
     * no more records of the epoch, so that its primary cannot confirm any without the others.
     *
     * @param shard the shard
     * @param epoch the epoch that ends
     * @param target the store that the sender means; another one rejects the message
     * @param batch the index of the batch; the first one starts a new snapshot
     */
    record Collect(ShardId shard, Epoch epoch, StoreId target, int batch) implements PeerRequest {}

    /**
     * Asks whether a storage host is alive and which store it holds.
     *
     * @param sender the host that asks
     */
    record Ping(HostId sender) implements PeerRequest {}

    /**
     * Asks an entry host to pass a request on, because the sender cannot reach its receiver.
     *
     * @param address the receiver
     * @param request the request
     */
    record Relay(Address address, PeerRequest request) implements PeerRequest {}

    /** Returns a short name for metrics. */
    default String label() {
        return switch (this) {
            case Reserve _ -> "reserve";
            case Settle _ -> "settle";
            case LookUp _ -> "look_up";
            case Store _ -> "store";
            case Append _ -> "append";
            case Copy _ -> "copy";
            case Collect _ -> "collect";
            case Ping _ -> "ping";
            case Relay _ -> "relay";
        };
    }
}
