package org.tamarackfold.peer;

import io.vavr.collection.Seq;
import io.vavr.control.Option;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;

/** A request from one host to another. All but {@link Relay} are for storage hosts. */
public sealed interface PeerRequest {
    /**
     * Reserves tokens for a turn; sent to the primary.
     *
     * @param shard the shard of the program
     * @param program the program
     * @param call the turn
     * @param tokens the largest number of tokens that the turn may generate
     * @param budgetTokens the largest number of tokens that all turns of the program may generate
     * @param stream whether the origin of an event stream is recorded or read as well
     * @param continued the turn that the call must be able to continue in this shard; none when the
     *     sender does not ask for it
     */
    record Reserve(
            ShardId shard,
            ProgramId program,
            CallId call,
            long tokens,
            long budgetTokens,
            StreamStart stream,
            Option<ContinuedTurn> continued)
            implements PeerRequest {
        /** Creates a reservation that names no continued turn. */
        public Reserve(
                ShardId shard,
                ProgramId program,
                CallId call,
                long tokens,
                long budgetTokens,
                StreamStart stream) {
            this(shard, program, call, tokens, budgetTokens, stream, Option.none());
        }
    }

    /**
     * Replaces the reservation of a turn by the tokens that it used; sent to the primary.
     *
     * @param shard the shard of the program
     * @param program the program
     * @param call the turn
     * @param tokens the number of tokens that reached the caller
     */
    record Settle(ShardId shard, ProgramId program, CallId call, long tokens)
            implements PeerRequest {}

    /**
     * Reads the history of a turn; sent to the primary.
     *
     * @param shard the shard of the turn
     * @param call the turn
     * @param access which turns may be read
     */
    record LookUp(ShardId shard, CallId call, TurnAccess access) implements PeerRequest {}

    /**
     * Stores the history of a turn, and settles the turn if it says so; sent to the primary.
     *
     * @param shard the shard of the turn
     * @param turn the turn and its history
     */
    record Store(ShardId shard, FinishedTurn turn) implements PeerRequest {}

    /**
     * Replicates new records; sent by the primary of an epoch to the other members and to hosts
     * that are about to join.
     *
     * @param shard the shard
     * @param epoch the epoch of the sender
     * @param targetStore the store to which the request applies; a host with another one rejects it
     * @param records the records; empty when the sender only verifies that it is still the primary
     */
    record Append(ShardId shard, Epoch epoch, StoreId targetStore, Seq<StoredRecord> records)
            implements PeerRequest {}

    /**
     * Transfers existing records to a host that must hold all records of the next view. Accepted
     * under any epoch, because the sender does not count the reply toward a write quorum.
     *
     * @param shard the shard
     * @param targetStore the store to which the request applies; a host with another one rejects it
     * @param records the records
     */
    record Copy(ShardId shard, StoreId targetStore, Seq<StoredRecord> records)
            implements PeerRequest {}

    /**
     * Collects the records of a member before another member takes over the shard. The receiver
     * then rejects all appends of the epoch, so that the old primary cannot reach a write quorum
     * for records that the new primary has not collected.
     *
     * @param shard the shard
     * @param epoch the epoch that ends
     * @param targetStore the store to which the request applies; a host with another one rejects it
     * @param batch the index of the requested batch; index 0 takes a new snapshot of the records
     */
    record Collect(ShardId shard, Epoch epoch, StoreId targetStore, int batch)
            implements PeerRequest {}

    /**
     * Asks whether a storage host is alive and which store it holds.
     *
     * @param sender the host that sends the ping
     */
    record Ping(HostId sender) implements PeerRequest {}

    /**
     * Asks an entry host to relay a request, because the sender cannot reach the receiver itself.
     *
     * @param address the address of the receiver
     * @param request the request to relay; must not be a relay itself
     */
    record Relay(Address address, PeerRequest request) implements PeerRequest {}

    /** Returns the value of the metric label for the operation. */
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
