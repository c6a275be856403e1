package org.tamarackfold.peer.thrift;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.caller.limit.PermitDemand;
import org.tamarackfold.caller.limit.PermitGrant;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.peer.thrift.generated.PermitDemandStruct;
import org.tamarackfold.peer.thrift.generated.PermitGrantStruct;
import org.tamarackfold.peer.thrift.generated.PermitReplyStruct;
import org.tamarackfold.peer.thrift.generated.PermitRequestStruct;

/** Encodes and decodes requests for permits and the replies to them as Thrift structures. */
public final class PermitCodec {
    private PermitCodec() {}

    /**
     * A request; without demands it only asks whether the receiver sees the sender.
     *
     * @param host the sender
     * @param demands the permits that it asks for
     */
    public record Request(HostId host, Vector<PermitDemand> demands) {}

    /**
     * The reply to a request.
     *
     * @param grants the grants, in the order of the demands
     * @param senderSeen whether the receiver sees the sender as registered; none if it does not say
     */
    public record Reply(Vector<PermitGrant> grants, Option<Boolean> senderSeen) {}

    /** Encodes a request. */
    public static byte[] encode(Request request) {
        return ThriftBytes.encode(
                new PermitRequestStruct(
                        request.host().value(),
                        request.demands().map(PermitCodec::toStruct).toJavaList()));
    }

    /**
     * Decodes a request.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static Request decodeRequest(byte[] bytes) {
        PermitRequestStruct struct = ThriftBytes.decode(bytes, new PermitRequestStruct());
        return new Request(
                new HostId(struct.getHost()),
                Vector.ofAll(struct.getDemands()).map(PermitCodec::fromStruct));
    }

    /** Encodes a reply. */
    public static byte[] encode(Reply reply) {
        PermitReplyStruct struct =
                new PermitReplyStruct(reply.grants().map(PermitCodec::toStruct).toJavaList());
        reply.senderSeen().forEach(struct::setSenderSeen);
        return ThriftBytes.encode(struct);
    }

    /**
     * Decodes a reply.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static Reply decodeReply(byte[] bytes) {
        PermitReplyStruct struct = ThriftBytes.decode(bytes, new PermitReplyStruct());
        return new Reply(
                Vector.ofAll(struct.getGrants()).map(PermitCodec::fromStruct),
                Option.when(struct.isSetSenderSeen(), struct::isSenderSeen));
    }

    private static PermitDemandStruct toStruct(PermitDemand demand) {
        return new PermitDemandStruct(
                        demand.customer().value(),
                        demand.firstTurns(),
                        demand.otherCalls(),
                        demand.limit().callsPerSecond(),
                        demand.limit().burst())
                .setExpectedCalls(demand.expectedCalls());
    }

    private static PermitDemand fromStruct(PermitDemandStruct struct) {
        return new PermitDemand(
                new CustomerName(struct.getCustomer()),
                struct.getFirstTurns(),
                struct.getOtherCalls(),
                struct.getExpectedCalls(),
                new CallLimit(struct.getCallsPerSecond(), struct.getBurst()));
    }

    private static PermitGrantStruct toStruct(PermitGrant grant) {
        return new PermitGrantStruct(
                        grant.customer().value(),
                        grant.firstTurns(),
                        grant.otherCalls(),
                        grant.retryAfter().toMillis())
                .setOwner(grant.owner())
                .setRemaining(grant.remaining());
    }

    private static PermitGrant fromStruct(PermitGrantStruct struct) {
        return new PermitGrant(
                new CustomerName(struct.getCustomer()),
                requireCount(struct.getFirstTurns()),
                requireCount(struct.getOtherCalls()),
                Duration.ofMillis(Math.max(0, struct.getRetryAfterMillis())),
                struct.isOwner(),
                struct.getRemaining());
    }

    private static int requireCount(int permits) {
        if (permits < 0) {
            throw new IllegalArgumentException("negative number of permits");
        }
        return permits;
    }
}
