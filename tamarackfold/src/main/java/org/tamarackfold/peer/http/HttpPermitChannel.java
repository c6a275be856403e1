package org.tamarackfold.peer.http;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tamarackfold.caller.limit.PermitChannel;
import org.tamarackfold.caller.limit.PermitDemand;
import org.tamarackfold.caller.limit.PermitGrant;
import org.tamarackfold.id.HostId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.thrift.PermitCodec;

/** Asks other entry hosts for permits over HTTP. */
public final class HttpPermitChannel implements PermitChannel {
    /** Path of requests for permits on the peer address. */
    public static final String PATH = "/permits";

    private static final StructuredLog LOG = StructuredLog.of("peer");

    /**
     * Timeout of a request. A reply takes a few ms; calls wait for it and have deadlines of 1.5 s
     * and more.
     */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    private final HostId self;
    private final EntryHostMessages messages;
    private final Supplier<Vector<EntryHost>> reachable;

    /**
     * Creates the channel of a host.
     *
     * @param reachable returns the entry hosts whose addresses are known
     */
    public HttpPermitChannel(
            HostId self, EntryHostMessages messages, Supplier<Vector<EntryHost>> reachable) {
        this.self = self;
        this.messages = messages;
        this.reachable = reachable;
    }

    @Override
    public CompletableFuture<Option<PermitGrant>> ask(HostId host, PermitDemand demand) {
        return send(host, Vector.of(demand))
                .thenApply(
                        reply ->
                                reply.flatMap(
                                        present ->
                                                present.grants()
                                                        .find(
                                                                grant ->
                                                                        grant.customer()
                                                                                .equals(
                                                                                        demand
                                                                                                .customer()))));
    }

    @Override
    public CompletableFuture<Option<Boolean>> sees(HostId host) {
        return send(host, Vector.empty())
                .thenApply(reply -> reply.flatMap(PermitCodec.Reply::senderSeen));
    }

    private CompletableFuture<Option<PermitCodec.Reply>> send(
            HostId host, Vector<PermitDemand> demands) {
        Option<EntryHost> receiver = reachable.get().find(entry -> entry.host().equals(host));
        if (receiver.isEmpty()) {
            return CompletableFuture.completedFuture(Option.none());
        }
        byte[] message = PermitCodec.encode(new PermitCodec.Request(self, demands));
        return messages.send(receiver.get().peerAddress(), PATH, message, TIMEOUT)
                .thenApply(reply -> reply.toOption().flatMap(bytes -> decode(host, bytes)));
    }

    private static Option<PermitCodec.Reply> decode(HostId host, byte[] bytes) {
        try {
            return Option.some(PermitCodec.decodeReply(bytes));
        } catch (IllegalArgumentException e) {
            LOG.event("message_malformed")
                    .with("path", PATH)
                    .with("peer", host)
                    .with("reason", e)
                    .warn();
            return Option.none();
        }
    }
}
