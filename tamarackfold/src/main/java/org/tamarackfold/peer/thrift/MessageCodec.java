package org.tamarackfold.peer.thrift;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.peer.ContinuedTurn;
import org.tamarackfold.peer.FinishedTurn;
import org.tamarackfold.peer.History;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.StreamStart;
import org.tamarackfold.peer.TurnAccess;
import org.tamarackfold.peer.thrift.generated.AppendStruct;
import org.tamarackfold.peer.thrift.generated.CollectStruct;
import org.tamarackfold.peer.thrift.generated.CollectedStruct;
import org.tamarackfold.peer.thrift.generated.CopyStruct;
import org.tamarackfold.peer.thrift.generated.DoneStruct;
import org.tamarackfold.peer.thrift.generated.EmptyStruct;
import org.tamarackfold.peer.thrift.generated.LookUpStruct;
import org.tamarackfold.peer.thrift.generated.PingStruct;
import org.tamarackfold.peer.thrift.generated.RelayStruct;
import org.tamarackfold.peer.thrift.generated.ReplyStruct;
import org.tamarackfold.peer.thrift.generated.RequestStruct;
import org.tamarackfold.peer.thrift.generated.ReserveStruct;
import org.tamarackfold.peer.thrift.generated.SettleStruct;
import org.tamarackfold.peer.thrift.generated.StoreStruct;

/** Encodes and decodes the requests and replies between hosts as Thrift structures. */
public final class MessageCodec {
    private MessageCodec() {}

    /** Encodes a request. A relayed request is embedded in its encoded form. */
    public static byte[] encode(PeerRequest request) {
        return ThriftBytes.encode(toStruct(request));
    }

    private static RequestStruct toStruct(PeerRequest request) {
        return switch (request) {
            case PeerRequest.Reserve reserve -> RequestStruct.reserve(toReserveStruct(reserve));
            case PeerRequest.Settle(ShardId shard, ProgramId program, CallId call, long tokens) ->
                    RequestStruct.settle(
                            new SettleStruct(shard.value(), program.value(), call.value(), tokens));
            case PeerRequest.LookUp lookUp -> RequestStruct.lookUp(toLookUpStruct(lookUp));
            case PeerRequest.Store(ShardId shard, FinishedTurn turn) ->
                    RequestStruct.store(toStoreStruct(shard, turn));
            case PeerRequest.Append(
                            ShardId shard,
                            Epoch epoch,
                            StoreId targetStore,
                            Seq<StoredRecord> records) ->
                    RequestStruct.append(
                            new AppendStruct(
                                    shard.value(),
                                    epoch.value(),
                                    targetStore.value(),
                                    records.map(RecordCodec::toStruct).toJavaList()));
            case PeerRequest.Copy(ShardId shard, StoreId targetStore, Seq<StoredRecord> records) ->
                    RequestStruct.copy(
                            new CopyStruct(
                                    shard.value(),
                                    targetStore.value(),
                                    records.map(RecordCodec::toStruct).toJavaList()));
            case PeerRequest.Collect(ShardId shard, Epoch epoch, StoreId targetStore, int batch) ->
                    RequestStruct.collect(
                            new CollectStruct(
                                    shard.value(), epoch.value(), targetStore.value(), batch));
            case PeerRequest.Relay(Address address, PeerRequest relayed) ->
                    RequestStruct.relay(
                            new RelayStruct(address.toString(), ByteBuffer.wrap(encode(relayed))));
            case PeerRequest.Ping(HostId sender) ->
                    RequestStruct.ping(new PingStruct(sender.value()));
        };
    }

    private static LookUpStruct toLookUpStruct(PeerRequest.LookUp lookUp) {
        LookUpStruct struct = new LookUpStruct(lookUp.shard().value(), lookUp.call().value());
        if (lookUp.access()
                instanceof
                TurnAccess.Restricted(ProgramId program, Option<CustomerName> customer)) {
            struct.setProgram(program.value());
            customer.map(CustomerName::value).forEach(struct::setCustomer);
        }
        return struct;
    }

    private static StoreStruct toStoreStruct(ShardId shard, FinishedTurn turn) {
        StoreStruct struct =
                new StoreStruct(
                        shard.value(),
                        turn.call().value(),
                        ByteBuffer.wrap(turn.text()),
                        turn.retention().toMillis());
        turn.parent().map(CallId::value).forEach(struct::setParent);
        turn.customer().map(CustomerName::value).forEach(struct::setCustomer);
        for (FinishedTurn.Settlement settlement : turn.settlement()) {
            struct.setProgram(settlement.program().value());
            struct.setSettledTokens(settlement.tokens());
        }
        return struct;
    }

    private static ReserveStruct toReserveStruct(PeerRequest.Reserve reserve) {
        ReserveStruct struct =
                new ReserveStruct(
                        reserve.shard().value(),
                        reserve.program().value(),
                        reserve.call().value(),
                        reserve.tokens(),
                        reserve.budgetTokens());
        for (ContinuedTurn continued : reserve.continued()) {
            struct.setParent(continued.parent().value());
            continued.customer().map(CustomerName::value).forEach(struct::setCustomer);
        }
        return switch (reserve.stream()) {
            case StreamStart.Untracked() -> struct;
            case StreamStart.Begins(StreamOrigin origin) ->
                    struct.setBegins(OriginCodec.toStruct(origin));
            case StreamStart.Resumes(CallId firstCall) -> struct.setResumes(firstCall.value());
        };
    }

    /**
     * Decodes a request.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static PeerRequest decodeRequest(byte[] bytes) {
        RequestStruct struct = ThriftBytes.decode(bytes, new RequestStruct());
        if (struct.getSetField() == null) {
            throw new IllegalArgumentException("Request has no known kind");
        }
        return switch (struct.getSetField()) {
            case RESERVE -> toReserve(struct.getReserve());
            case SETTLE -> toSettle(struct.getSettle());
            case LOOK_UP -> toLookUp(struct.getLookUp());
            case STORE -> toStore(struct.getStore());
            case APPEND -> toAppend(struct.getAppend());
            case COPY -> toCopy(struct.getCopy());
            case COLLECT -> toCollect(struct.getCollect());
            case RELAY ->
                    new PeerRequest.Relay(
                            Address.parse(struct.getRelay().getAddress()),
                            decodeRequest(struct.getRelay().getRequest()));
            case PING -> new PeerRequest.Ping(new HostId(struct.getPing().getHost()));
        };
    }

    private static PeerRequest toReserve(ReserveStruct struct) {
        return new PeerRequest.Reserve(
                new ShardId(struct.getShard()),
                new ProgramId(struct.getProgram()),
                new CallId(struct.getCall()),
                struct.getTokens(),
                struct.getBudgetTokens(),
                toStreamStart(struct),
                toContinuedTurn(struct));
    }

    /** Hosts of earlier versions name no turn. */
    private static Option<ContinuedTurn> toContinuedTurn(ReserveStruct struct) {
        if (struct.isSetCustomer() && !struct.isSetParent()) {
            throw new IllegalArgumentException("Reservation names a customer but no turn");
        }
        return Option.of(struct.getParent())
                .map(CallId::new)
                .map(
                        parent ->
                                new ContinuedTurn(
                                        parent,
                                        Option.of(struct.getCustomer()).map(CustomerName::new)));
    }

    private static StreamStart toStreamStart(ReserveStruct struct) {
        if (struct.isSetBegins()) {
            return new StreamStart.Begins(OriginCodec.toOrigin(struct.getBegins()));
        }
        return struct.isSetResumes()
                ? new StreamStart.Resumes(new CallId(struct.getResumes()))
                : new StreamStart.Untracked();
    }

    private static PeerRequest toSettle(SettleStruct struct) {
        return new PeerRequest.Settle(
                new ShardId(struct.getShard()),
                new ProgramId(struct.getProgram()),
                new CallId(struct.getCall()),
                struct.getTokens());
    }

    private static PeerRequest toLookUp(LookUpStruct struct) {
        return new PeerRequest.LookUp(
                new ShardId(struct.getShard()), new CallId(struct.getCall()), toAccess(struct));
    }

    /** Hosts of earlier versions name no program, and know no customers. */
    private static TurnAccess toAccess(LookUpStruct struct) {
        if (struct.isSetProgram()) {
            return new TurnAccess.Restricted(
                    new ProgramId(struct.getProgram()),
                    Option.of(struct.getCustomer()).map(CustomerName::new));
        }
        if (struct.isSetCustomer()) {
            throw new IllegalArgumentException("Lookup names a customer but no program");
        }
        return new TurnAccess.Unrestricted();
    }

    private static PeerRequest toStore(StoreStruct struct) {
        FinishedTurn turn =
                FinishedTurn.builder()
                        .call(new CallId(struct.getCall()))
                        .text(struct.getText())
                        .retention(Duration.ofMillis(struct.getRetentionMillis()))
                        .parent(Option.of(struct.getParent()).map(CallId::new))
                        .customer(Option.of(struct.getCustomer()).map(CustomerName::new))
                        .settlement(toSettlement(struct))
                        .build();
        return new PeerRequest.Store(new ShardId(struct.getShard()), turn);
    }

    /** Hosts of earlier versions send the settlement in a message of its own. */
    private static Option<FinishedTurn.Settlement> toSettlement(StoreStruct struct) {
        return Option.when(
                struct.isSetProgram() && struct.isSetSettledTokens(),
                () ->
                        new FinishedTurn.Settlement(
                                new ProgramId(struct.getProgram()), struct.getSettledTokens()));
    }

    private static PeerRequest toAppend(AppendStruct struct) {
        return new PeerRequest.Append(
                new ShardId(struct.getShard()),
                new Epoch(struct.getEpoch()),
                new StoreId(struct.getTargetStore()),
                Vector.ofAll(struct.getRecords()).map(RecordCodec::toRecord));
    }

    private static PeerRequest toCopy(CopyStruct struct) {
        return new PeerRequest.Copy(
                new ShardId(struct.getShard()),
                new StoreId(struct.getTargetStore()),
                Vector.ofAll(struct.getRecords()).map(RecordCodec::toRecord));
    }

    private static PeerRequest toCollect(CollectStruct struct) {
        return new PeerRequest.Collect(
                new ShardId(struct.getShard()),
                new Epoch(struct.getEpoch()),
                new StoreId(struct.getTargetStore()),
                struct.getBatch());
    }

    /**
     * Encodes a reply. {@link PeerReply.Unreachable} decodes as {@link PeerReply.Unavailable}, and
     * {@link PeerReply.Overloaded} does so on hosts of earlier versions.
     */
    public static byte[] encode(PeerReply reply) {
        return ThriftBytes.encode(
                switch (reply) {
                    case PeerReply.Done() -> ReplyStruct.done(new DoneStruct());
                    case PeerReply.Settled() -> ReplyStruct.done(new DoneStruct().setSettled(true));
                    case PeerReply.Reserved(StreamOrigin origin) ->
                            ReplyStruct.done(
                                    new DoneStruct().setOrigin(OriginCodec.toStruct(origin)));
                    case PeerReply.Exhausted() -> ReplyStruct.exhausted(new EmptyStruct());
                    // Sent only to hosts that have named a turn, which know this reply.
                    case PeerReply.NoSuchTurn _ -> ReplyStruct.noSuchTurn(new EmptyStruct());
                    case PeerReply.Outstanding() -> ReplyStruct.outstanding(new EmptyStruct());
                    case PeerReply.Found(History history) ->
                            ReplyStruct.found(ByteBuffer.wrap(history.toBytes()));
                    case PeerReply.Absent() -> ReplyStruct.absent(new EmptyStruct());
                    case PeerReply.NotPrimary() -> ReplyStruct.notPrimary(new EmptyStruct());
                    case PeerReply.Stale(Epoch epoch) -> ReplyStruct.staleEpoch(epoch.value());
                    case PeerReply.Unavailable(String reason) -> ReplyStruct.unavailable(reason);
                    // The wire format has no reply for a request that did not reach a host.
                    case PeerReply.Unreachable(String reason) -> ReplyStruct.unavailable(reason);
                    case PeerReply.Overloaded(String reason) -> ReplyStruct.overloaded(reason);
                    case PeerReply.Alive(StoreId store) -> ReplyStruct.storeId(store.value());
                    case PeerReply.Collected(Seq<StoredRecord> records, int batches) ->
                            ReplyStruct.collected(
                                    new CollectedStruct(
                                            records.map(RecordCodec::toStruct).toJavaList(),
                                            batches));
                });
    }

    /** The fields of the structure are optional, so that hosts of earlier versions can read it. */
    private static PeerReply toDone(DoneStruct struct) {
        if (struct.isSetOrigin()) {
            return new PeerReply.Reserved(OriginCodec.toOrigin(struct.getOrigin()));
        }
        return struct.isSetSettled() && struct.isSettled()
                ? new PeerReply.Settled()
                : new PeerReply.Done();
    }

    /**
     * Decodes a reply.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static PeerReply decodeReply(byte[] bytes) {
        ReplyStruct struct = ThriftBytes.decode(bytes, new ReplyStruct());
        if (struct.getSetField() == null) {
            throw new IllegalArgumentException("Reply has no known kind");
        }
        return switch (struct.getSetField()) {
            case DONE -> toDone(struct.getDone());
            case EXHAUSTED -> new PeerReply.Exhausted();
            case NO_SUCH_TURN -> new PeerReply.NoSuchTurn(false);
            case OUTSTANDING -> new PeerReply.Outstanding();
            case FOUND -> new PeerReply.Found(History.of(struct.getFound()));
            case ABSENT -> new PeerReply.Absent();
            case NOT_PRIMARY -> new PeerReply.NotPrimary();
            case STALE_EPOCH -> new PeerReply.Stale(new Epoch(struct.getStaleEpoch()));
            case UNAVAILABLE -> new PeerReply.Unavailable(struct.getUnavailable());
            case OVERLOADED -> new PeerReply.Overloaded(struct.getOverloaded());
            case STORE_ID -> new PeerReply.Alive(new StoreId(struct.getStoreId()));
            case COLLECTED ->
                    new PeerReply.Collected(
                            Vector.ofAll(struct.getCollected().getRecords())
                                    .map(RecordCodec::toRecord),
                            struct.getCollected().getBatches());
        };
    }
}
