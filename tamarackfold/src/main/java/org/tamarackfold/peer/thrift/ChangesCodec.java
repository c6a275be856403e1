package org.tamarackfold.peer.thrift;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.KeyValueService.Change;
import org.tamarackfold.keyvalue.relay.ChangesReply;
import org.tamarackfold.peer.thrift.generated.ChangeStruct;
import org.tamarackfold.peer.thrift.generated.ChangesReplyStruct;
import org.tamarackfold.peer.thrift.generated.ChangesRequestStruct;

/** Encodes and decodes the questions for changes and their replies as Thrift structures. */
public final class ChangesCodec {
    private ChangesCodec() {}

    /** Encodes the question for the changes after a revision. */
    public static byte[] encodeRequest(long afterRevision) {
        return ThriftBytes.encode(new ChangesRequestStruct(afterRevision));
    }

    /**
     * Decodes a question and returns its revision.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static long decodeRequest(byte[] bytes) {
        return ThriftBytes.decode(bytes, new ChangesRequestStruct()).getAfterRevision();
    }

    /** Encodes a reply. */
    public static byte[] encode(ChangesReply reply) {
        return ThriftBytes.encode(
                switch (reply) {
                    case ChangesReply.Changes(var changes, long asOf, var confirmation) ->
                            toStruct(confirmation)
                                    .setChanges(changes.map(ChangesCodec::toStruct).toJavaList())
                                    .setAsOf(asOf);
                    case ChangesReply.Unavailable(var confirmation) -> toStruct(confirmation);
                    case ChangesReply.NotStarted() -> new ChangesReplyStruct();
                });
    }

    private static ChangesReplyStruct toStruct(ChangesReply.Confirmation confirmation) {
        ChangesReplyStruct struct =
                new ChangesReplyStruct().setConfirmationAgeMillis(confirmation.age().toMillis());
        confirmation.outageAge().forEach(age -> struct.setOutageAgeMillis(age.toMillis()));
        return struct;
    }

    private static ChangeStruct toStruct(Change change) {
        ChangeStruct struct = new ChangeStruct(change.key(), change.revision());
        return switch (change) {
            case Change.Written(KeyValueService.Item item) -> struct.setValue(item.value());
            case Change.Removed(String _, long _) -> struct;
        };
    }

    /**
     * Decodes a reply.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static ChangesReply decodeReply(byte[] bytes) {
        ChangesReplyStruct struct = ThriftBytes.decode(bytes, new ChangesReplyStruct());
        if (!struct.isSetConfirmationAgeMillis()) {
            return new ChangesReply.NotStarted();
        }
        ChangesReply.Confirmation confirmation =
                new ChangesReply.Confirmation(
                        Duration.ofMillis(struct.getConfirmationAgeMillis()),
                        Option.when(
                                struct.isSetOutageAgeMillis(),
                                () -> Duration.ofMillis(struct.getOutageAgeMillis())));
        return struct.isSetChanges() && struct.isSetAsOf()
                ? new ChangesReply.Changes(
                        Vector.ofAll(struct.getChanges()).map(ChangesCodec::toChange),
                        struct.getAsOf(),
                        confirmation)
                : new ChangesReply.Unavailable(confirmation);
    }

    private static Change toChange(ChangeStruct struct) {
        return struct.isSetValue()
                ? new Change.Written(
                        new KeyValueService.Item(
                                struct.getKey(), struct.getValue(), struct.getRevision()))
                : new Change.Removed(struct.getKey(), struct.getRevision());
    }
}
