package org.tamarackfold.peer.http;

import io.undertow.server.HttpHandler;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.caller.quarantine.QuarantineChannel;
import org.tamarackfold.caller.quarantine.SuspicionReport;
import org.tamarackfold.caller.quarantine.TrialKey;
import org.tamarackfold.id.HostId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.RecentHosts;
import org.tamarackfold.peer.thrift.QuarantineCodec;

/** Exchanges messages about suspected requests with other entry hosts over HTTP. */
public final class HttpQuarantineChannel implements QuarantineChannel {
    /** Path of what hosts know. */
    public static final String SUSPICIONS_PATH = "/suspicions";

    /** Path of requests for trials. */
    public static final String TRIALS_PATH = "/trials";

    private static final StructuredLog LOG = StructuredLog.of("peer");

    /** A reply takes a few ms; calls wait for the reply to a request for a trial. */
    private static final Duration TRIAL_TIMEOUT = Duration.ofMillis(150);

    private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(500);

    private final HostId self;
    private final RecentHosts hosts;
    private final EntryHostMessages messages;

    /** Creates the channel of a host. */
    public HttpQuarantineChannel(HostId self, RecentHosts hosts, EntryHostMessages messages) {
        this.self = self;
        this.hosts = hosts;
        this.messages = messages;
    }

    /** Returns the handler of what other hosts know. */
    public static HttpHandler suspicionsHandler(Quarantine quarantine) {
        return new EntryMessageHandler(
                message ->
                        QuarantineCodec.encode(
                                quarantine.onExchange(QuarantineCodec.decodeExchange(message))));
    }

    /** Returns the handler of requests for trials and of their ends. */
    public static HttpHandler trialsHandler(Quarantine quarantine) {
        return new EntryMessageHandler(
                message -> reply(quarantine, QuarantineCodec.decodeTrialMessage(message)));
    }

    private static byte[] reply(Quarantine quarantine, QuarantineCodec.TrialMessage message) {
        if (message.lease().isEmpty()) {
            quarantine.onTrialEnd(message.host(), message.key(), message.reports());
            return new byte[0];
        }
        return QuarantineCodec.encode(
                quarantine.onTrialRequest(message.host(), message.key(), message.lease().get()));
    }

    @Override
    public Vector<HostId> others() {
        return hosts.hosts().map(EntryHost::host);
    }

    @Override
    public CompletableFuture<Option<Exchange>> exchange(HostId host, Exchange message) {
        return send(host, SUSPICIONS_PATH, QuarantineCodec.encode(message), EXCHANGE_TIMEOUT)
                .thenApply(
                        reply ->
                                reply.flatMap(
                                        bytes ->
                                                decode(
                                                        host,
                                                        bytes,
                                                        QuarantineCodec::decodeExchange)));
    }

    @Override
    public CompletableFuture<Option<TrialReply>> requestTrial(
            HostId host, TrialKey key, Duration lease) {
        byte[] message =
                QuarantineCodec.encode(
                        new QuarantineCodec.TrialMessage(
                                self, key, Option.some(lease), Vector.empty()));
        return send(host, TRIALS_PATH, message, TRIAL_TIMEOUT)
                .thenApply(
                        reply ->
                                reply.flatMap(
                                        bytes ->
                                                decode(
                                                        host,
                                                        bytes,
                                                        QuarantineCodec::decodeTrialReply)));
    }

    @Override
    public void endTrial(HostId host, TrialKey key, Vector<SuspicionReport> reports) {
        byte[] message =
                QuarantineCodec.encode(
                        new QuarantineCodec.TrialMessage(self, key, Option.none(), reports));
        send(host, TRIALS_PATH, message, TRIAL_TIMEOUT);
    }

    private CompletableFuture<Option<byte[]>> send(
            HostId host, String path, byte[] message, Duration timeout) {
        Option<EntryHost> receiver = hosts.get(host);
        return receiver.isEmpty()
                ? CompletableFuture.completedFuture(Option.none())
                : messages.send(receiver.get().peerAddress(), path, message, timeout)
                        .thenApply(reply -> reply.toOption());
    }

    private static <T> Option<T> decode(HostId host, byte[] bytes, Function<byte[], T> decoder) {
        try {
            return Option.some(decoder.apply(bytes));
        } catch (IllegalArgumentException e) {
            LOG.event("message_malformed").with("peer", host).with("reason", e).warn();
            return Option.none();
        }
    }
}
