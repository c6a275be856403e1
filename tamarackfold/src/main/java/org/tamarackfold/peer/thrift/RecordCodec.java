package org.tamarackfold.peer.thrift;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.peer.History;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.thrift.generated.ChargeStruct;
import org.tamarackfold.peer.thrift.generated.EpochEndStruct;
import org.tamarackfold.peer.thrift.generated.LoggedRecordStruct;
import org.tamarackfold.peer.thrift.generated.RecordStruct;
import org.tamarackfold.peer.thrift.generated.TurnStruct;

/** Encodes and decodes the records of the log and of replication messages as Thrift structures. */
public final class RecordCodec {
    private RecordCodec() {}

    /**
     * A record of the log with its shard.
     *
     * @param shard the shard to which the record belongs
     * @param record the record
     */
    public record LoggedRecord(ShardId shard, StoredRecord record) {}

    /** Encodes a logged record. */
    public static byte[] encode(LoggedRecord logged) {
        return ThriftBytes.encode(
                new LoggedRecordStruct(logged.shard().value(), toStruct(logged.record())));
    }

    /**
     * Decodes a logged record.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static LoggedRecord decode(byte[] bytes) {
        LoggedRecordStruct struct = ThriftBytes.decode(bytes, new LoggedRecordStruct());
        return new LoggedRecord(new ShardId(struct.getShard()), toRecord(struct.getRecord()));
    }

    static RecordStruct toStruct(StoredRecord record) {
        return switch (record) {
            case StoredRecord.Turn turn -> RecordStruct.turn(toTurnStruct(turn));
            case StoredRecord.Charge(
                            ProgramId program,
                            CallId call,
                            long tokens,
                            boolean settled,
                            long keepUntilMillis,
                            Option<StreamOrigin> origin) -> {
                ChargeStruct charge =
                        new ChargeStruct(
                                program.value(), call.value(), tokens, settled, keepUntilMillis);
                origin.map(OriginCodec::toStruct).forEach(charge::setOrigin);
                yield RecordStruct.charge(charge);
            }
            case StoredRecord.EpochEnd(Epoch epoch) ->
                    RecordStruct.epochEnd(new EpochEndStruct(epoch.value()));
        };
    }

    /** Assembles the whole history, so that hosts of earlier versions can read the record. */
    private static TurnStruct toTurnStruct(StoredRecord.Turn turn) {
        TurnStruct struct =
                new TurnStruct(
                        turn.call().value(),
                        ByteBuffer.wrap(turn.history().toBytes()),
                        turn.keepUntilMillis());
        turn.parent().map(CallId::value).forEach(struct::setParent);
        turn.customer().map(CustomerName::value).forEach(struct::setCustomer);
        return struct;
    }

    private static StoredRecord.Turn toTurn(TurnStruct struct) {
        return new StoredRecord.Turn(
                new CallId(struct.getCall()),
                History.of(struct.getText()),
                struct.getKeepUntilMillis(),
                Option.of(struct.getParent()).map(CallId::new),
                Option.of(struct.getCustomer()).map(CustomerName::new));
    }

    static StoredRecord toRecord(RecordStruct struct) {
        if (struct.isSetTurn()) {
            return toTurn(struct.getTurn());
        }
        if (struct.isSetEpochEnd()) {
            return new StoredRecord.EpochEnd(new Epoch(struct.getEpochEnd().getEpoch()));
        }
        if (!struct.isSetCharge()) {
            throw new IllegalArgumentException("Record has no known kind");
        }
        ChargeStruct charge = struct.getCharge();
        return new StoredRecord.Charge(
                new ProgramId(charge.getProgram()),
                new CallId(charge.getCall()),
                charge.getTokens(),
                charge.isSettled(),
                charge.getKeepUntilMillis(),
                Option.of(charge.getOrigin()).map(OriginCodec::toOrigin));
    }
}
