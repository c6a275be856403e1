package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.peer.thrift.QuarantineCodec;
import org.tamarackfold.standin.VirtualScheduler;

/**
 * The quarantines of a fleet in virtual time, with messages in their encoded form between them. No
 * key-value service takes part.
 */
final class QuarantineFleet {
    static final ServiceName SERVICE = new ServiceName("models");
    static final SoftwareVersion VERSION = new SoftwareVersion("v1");

    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    final VirtualScheduler scheduler = new VirtualScheduler();
    final Map<HostId, Quarantine> hosts = new HashMap<>();
    final List<HostId> names = new ArrayList<>();

    /** Hosts that neither send nor receive: stopped, frozen or of an earlier build. */
    final Set<HostId> silent = new HashSet<>();

    /** Tells whether a message from one host to another arrives. */
    BiPredicate<HostId, HostId> link = (from, to) -> true;

    /** Bytes that each host has sent, replies included. */
    final Map<HostId, Long> sentBytes = new HashMap<>();

    private final Random random;
    private final int endpoints;

    QuarantineFleet(int size, int endpoints, long seed) {
        this.endpoints = endpoints;
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            names.add(new HostId("entry-" + i));
        }
        names.forEach(this::start);
    }

    /** Starts a host, or starts it again without what it knew. */
    void start(HostId host) {
        silent.remove(host);
        Quarantine quarantine =
                Quarantine.builder()
                        .self(host)
                        .channel(new Channel(host))
                        .recorder(new NoRecorder())
                        .versions(service -> Set.of(VERSION))
                        .endpointCount(service -> endpoints)
                        .scheduler(scheduler)
                        .random(new Random(random.nextLong()))
                        .metrics(new HostMetrics())
                        .build();
        hosts.put(host, quarantine);
        quarantine.start();
    }

    void advance(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    Quarantine host(int index) {
        return hosts.get(names.get(index));
    }

    static TrialKey key(RequestFingerprint request) {
        return new TrialKey(request, SERVICE);
    }

    Verdict verdict(int host, RequestFingerprint request) {
        return host(host).verdict(key(request));
    }

    boolean isQuarantined(int host, RequestFingerprint request) {
        return verdict(host, request) instanceof Verdict.Quarantined;
    }

    /** Returns the hosts in touch that would send a request. */
    Vector<HostId> unaware(RequestFingerprint request) {
        return Vector.ofAll(names)
                .filter(host -> !silent.contains(host))
                .filter(
                        host ->
                                !(hosts.get(host).verdict(key(request))
                                        instanceof Verdict.Quarantined));
    }

    /** A host sees an endpoint end under a request. */
    void end(int host, int endpoint, RequestFingerprint request) {
        host(host).recordEnd(request, endpoint(endpoint), Duration.ofMillis(100));
    }

    void answer(int host, int endpoint, RequestFingerprint request) {
        host(host).recordAnswer(request, endpoint(endpoint));
    }

    static EndpointRecord endpoint(int number) {
        return new EndpointRecord(
                new EndpointId("engine-" + number),
                SERVICE,
                new Address("127.0.0.1", 9),
                new AvailabilityZone("a"),
                12,
                false,
                1_000 + number,
                VERSION);
    }

    private static final class NoRecorder implements QuarantineRecorder {
        @Override
        public void record(SuspicionReport report) {}

        @Override
        public void remove(SuspicionKey key) {}
    }

    private final class Channel implements QuarantineChannel {
        private final HostId self;

        Channel(HostId self) {
            this.self = self;
        }

        @Override
        public Vector<HostId> others() {
            return Vector.ofAll(names).filter(host -> !host.equals(self));
        }

        private boolean arrives(HostId from, HostId to) {
            return !silent.contains(from) && !silent.contains(to) && link.test(from, to);
        }

        private void count(HostId from, byte[] message) {
            sentBytes.merge(from, (long) message.length, Long::sum);
        }

        @Override
        public CompletableFuture<Option<Exchange>> exchange(HostId host, Exchange message) {
            return send(
                            host,
                            QuarantineCodec.encode(message),
                            bytes ->
                                    QuarantineCodec.encode(
                                            hosts.get(host)
                                                    .onExchange(
                                                            QuarantineCodec.decodeExchange(bytes))))
                    .thenApply(reply -> reply.map(QuarantineCodec::decodeExchange));
        }

        @Override
        public CompletableFuture<Option<TrialReply>> requestTrial(
                HostId host, TrialKey key, Duration lease) {
            byte[] message =
                    QuarantineCodec.encode(
                            new QuarantineCodec.TrialMessage(
                                    self, key, Option.some(lease), Vector.empty()));
            return send(host, message, bytes -> onTrialMessage(host, bytes))
                    .thenApply(reply -> reply.map(QuarantineCodec::decodeTrialReply));
        }

        @Override
        public void endTrial(HostId host, TrialKey key, Vector<SuspicionReport> reports) {
            byte[] message =
                    QuarantineCodec.encode(
                            new QuarantineCodec.TrialMessage(self, key, Option.none(), reports));
            send(host, message, bytes -> onTrialMessage(host, bytes));
        }

        private byte[] onTrialMessage(HostId host, byte[] bytes) {
            QuarantineCodec.TrialMessage message = QuarantineCodec.decodeTrialMessage(bytes);
            if (message.lease().isEmpty()) {
                hosts.get(host).onTrialEnd(message.host(), message.key(), message.reports());
                return new byte[0];
            }
            return QuarantineCodec.encode(
                    hosts.get(host)
                            .onTrialRequest(message.host(), message.key(), message.lease().get()));
        }

        private CompletableFuture<Option<byte[]>> send(
                HostId host, byte[] message, UnaryOperator<byte[]> receiver) {
            CompletableFuture<Option<byte[]>> reply = new CompletableFuture<>();
            scheduler.after(TIMEOUT, () -> reply.complete(Option.none()));
            if (silent.contains(self)) {
                return reply;
            }
            count(self, message);
            scheduler.after(
                    LATENCY,
                    () -> {
                        if (arrives(self, host)) {
                            byte[] answer = receiver.apply(message);
                            count(host, answer);
                            scheduler.after(LATENCY, () -> complete(host, reply, answer));
                        }
                    });
            return reply;
        }

        private void complete(HostId from, CompletableFuture<Option<byte[]>> reply, byte[] answer) {
            if (arrives(from, self)) {
                reply.complete(Option.some(answer));
            }
        }
    }
}
