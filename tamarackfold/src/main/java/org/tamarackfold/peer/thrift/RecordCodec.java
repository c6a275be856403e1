package org.tamarackfold.peer.thrift;

import java.nio.ByteBuffer;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.thrift.generated.ChargeStruct;
import org.tamarackfold.peer.thrift.generated.EpochEndStruct;
import org.tamarackfold.peer.thrift.generated.LoggedRecordStruct;
import org.tamarackfold.peer.thrift.generated.RecordStruct;
import org.tamarackfold.peer.thrift.generated.TurnStruct;

/** Encodes durable records. */
public final class RecordCodec {
    private RecordCodec() {}

    /**
     * A record with its shard, as the log holds it.
     *
     * @param shard the shard
     * @param record the record
     */
    public record Logged(ShardId shard, StoredRecord record) {}

    /** Encodes a record of the log. */
    public static byte[] encode(Logged logged) {
        return ThriftBytes.encode(
                new LoggedRecordStruct(logged.shard().value(), struct(logged.record())));
    }

    /**
     * Decodes a record of the log.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static Logged decode(byte[] bytes) {
        LoggedRecordStruct struct = ThriftBytes.decode(bytes, new LoggedRecordStruct());
        return new Logged(new ShardId(struct.getShard()), record(struct.getRecord()));
    }

    static RecordStruct struct(StoredRecord record) {
        return switch (record) {
            case StoredRecord.Turn(CallId call, byte[] text, long keepUntil) ->
                    RecordStruct.turn(
                            new TurnStruct(call.value(), ByteBuffer.wrap(text), keepUntil));
            case StoredRecord.Charge(
                            ProgramId program,
                            CallId call,
                            long tokens,
                            boolean settled,
                            long keepUntil) ->
                    RecordStruct.charge(
                            new ChargeStruct(
                                    program.value(), call.value(), tokens, settled, keepUntil));
            case StoredRecord.EpochEnd(Epoch epoch) ->
                    RecordStruct.epochEnd(new EpochEndStruct(epoch.value()));
        };
    }

    static StoredRecord record(RecordStruct struct) {
        if (struct.isSetTurn()) {
            TurnStruct turn = struct.getTurn();
            return new StoredRecord.Turn(
                    new CallId(turn.getCall()), turn.getText(), turn.getKeepUntilMillis());
        }
        if (struct.isSetEpochEnd()) {
            return new StoredRecord.EpochEnd(new Epoch(struct.getEpochEnd().getEpoch()));
        }
        ChargeStruct charge = struct.getCharge();
        return new StoredRecord.Charge(
                new ProgramId(charge.getProgram()),
                new CallId(charge.getCall()),
                charge.getTokens(),
                charge.isSettled(),
                charge.getKeepUntilMillis());
    }
}
