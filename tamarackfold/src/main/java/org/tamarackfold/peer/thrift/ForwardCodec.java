package org.tamarackfold.peer.thrift;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.peer.thrift.generated.EmptyStruct;
import org.tamarackfold.peer.thrift.generated.ForwardReplyStruct;
import org.tamarackfold.peer.thrift.generated.ForwardStruct;
import org.tamarackfold.peer.thrift.generated.HeaderStruct;
import org.tamarackfold.peer.thrift.generated.ResponseHeadStruct;

/** Encodes and decodes forwarded calls and the replies to them as Thrift structures. */
public final class ForwardCodec {
    private ForwardCodec() {}

    /** Encodes a call. */
    public static byte[] encode(ForwardedCall call) {
        ForwardStruct struct =
                new ForwardStruct(
                        call.id().value(),
                        call.endpoint().value(),
                        call.method(),
                        call.pathAndQuery(),
                        toStructs(call.headers()),
                        ByteBuffer.wrap(call.body()),
                        wholeMillis(call.remainingTime()),
                        call.isRetryable());
        call.fingerprint().forEach(request -> struct.setFingerprint(request.toBytes()));
        return ThriftBytes.encode(struct);
    }

    /**
     * Returns the milliseconds that contain a duration. Rounded down, the forwarding host would end
     * the call before the deadline at which the sender answers its caller.
     */
    private static long wholeMillis(Duration duration) {
        return Math.ceilDiv(duration.toNanos(), TimeUnit.MILLISECONDS.toNanos(1));
    }

    /**
     * Decodes a call.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static ForwardedCall decodeCall(byte[] bytes) {
        ForwardStruct struct = ThriftBytes.decode(bytes, new ForwardStruct());
        return ForwardedCall.builder()
                .id(new CallId(struct.getCall()))
                .endpoint(new EndpointId(struct.getEndpoint()))
                .method(struct.getMethod())
                .pathAndQuery(struct.getPathAndQuery())
                .headers(toHeaders(struct.getHeaders()))
                .body(struct.getBody())
                .remainingTime(Duration.ofMillis(struct.getRemainingMillis()))
                .retryable(struct.isRetryable())
                .fingerprint(Option.of(struct.getFingerprint()).map(RequestFingerprint::ofBytes))
                .build();
    }

    /** Encodes a reply. */
    public static byte[] encode(ForwardReply reply) {
        return ThriftBytes.encode(
                switch (reply) {
                    case ForwardReply.Accepted() -> ForwardReplyStruct.accepted(new EmptyStruct());
                    case ForwardReply.Head(int status, Seq<ForwardedCall.Header> headers) ->
                            ForwardReplyStruct.head(
                                    new ResponseHeadStruct(status, toStructs(headers)));
                    case ForwardReply.Full() -> ForwardReplyStruct.full(new EmptyStruct());
                    case ForwardReply.Misdirected() ->
                            ForwardReplyStruct.misdirected(new EmptyStruct());
                    case ForwardReply.NotSent(String reason) -> ForwardReplyStruct.notSent(reason);
                    case ForwardReply.Unreachable() ->
                            ForwardReplyStruct.unreachable(new EmptyStruct());
                    case ForwardReply.Unknown(String reason) -> ForwardReplyStruct.unknown(reason);
                    case ForwardReply.Refused(String reason) -> ForwardReplyStruct.refused(reason);
                });
    }

    /**
     * Decodes a reply.
     *
     * @throws IllegalArgumentException when the bytes are malformed or the kind is unknown
     */
    public static ForwardReply decodeReply(byte[] bytes) {
        ForwardReplyStruct struct = ThriftBytes.decode(bytes, new ForwardReplyStruct());
        if (struct.getSetField() == null) {
            throw new IllegalArgumentException("Reply has no known kind");
        }
        return switch (struct.getSetField()) {
            case ACCEPTED -> new ForwardReply.Accepted();
            case HEAD ->
                    new ForwardReply.Head(
                            struct.getHead().getStatus(), toHeaders(struct.getHead().getHeaders()));
            case FULL -> new ForwardReply.Full();
            case MISDIRECTED -> new ForwardReply.Misdirected();
            case NOT_SENT -> new ForwardReply.NotSent(struct.getNotSent());
            case UNREACHABLE -> new ForwardReply.Unreachable();
            case UNKNOWN -> new ForwardReply.Unknown(struct.getUnknown());
            case REFUSED -> new ForwardReply.Refused(struct.getRefused());
        };
    }

    private static List<HeaderStruct> toStructs(Seq<ForwardedCall.Header> headers) {
        return headers.map(header -> new HeaderStruct(header.name(), header.value())).toJavaList();
    }

    private static Vector<ForwardedCall.Header> toHeaders(List<HeaderStruct> structs) {
        return Vector.ofAll(structs)
                .map(struct -> new ForwardedCall.Header(struct.getName(), struct.getValue()));
    }
}
