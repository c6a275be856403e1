package org.tamarackfold.platform;

import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.function.Consumer;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.Layout;
import org.tamarackfold.peer.PeerReply;
import org.tamarackfold.peer.PeerRequest;
import org.tamarackfold.peer.SharedStateCodec;
import org.tamarackfold.peer.StorageHost;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.StreamStart;
import org.tamarackfold.peer.View;
import org.tamarackfold.peer.thrift.MessageCodec;
import org.tamarackfold.peer.thrift.RecordCodec;
import org.tamarackfold.peer.thrift.ThriftSharedStateCodec;
import org.testng.annotations.Test;

/**
 * Damaged messages at each entrance of a process. Each decoder reports them in the one way that its
 * callers handle; any other error would reach the event loop, or end a watch.
 */
public final class MalformedInputTest {
    private MalformedInputTest() {}

    private static final int ROUNDS = 4_000;
    private static final long SEED = 20_261_204;

    private static final StoredRecord TURN =
            new StoredRecord.Turn(new CallId("turn-1"), new byte[40], 1_000);
    private static final StreamOrigin ORIGIN =
            new StreamOrigin(new ServiceName("s"), new SoftwareVersion("v1"), 1);
    private static final StoredRecord CHARGE =
            new StoredRecord.Charge(
                    new ProgramId("p"), new CallId("c"), 20, false, 1_000, Option.some(ORIGIN));
    private static final StorageHost HOST =
            new StorageHost(
                    new HostId("storage-1"),
                    new StoreId("store-1"),
                    new Address("10.0.0.1", 7000),
                    new AvailabilityZone("a"));

    /** Feeds damaged copies of a message to a decoder. */
    private static void damage(byte[] message, Consumer<byte[]> decoder) {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] damaged = message.clone();
            for (int i = 0; i <= random.nextInt(4); i++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            }
            int length = random.nextBoolean() ? damaged.length : random.nextInt(damaged.length);
            decoder.accept(java.util.Arrays.copyOf(damaged, length));
        }
    }

    /** Ignores the exception that callers of the Thrift decoders handle; others fail the test. */
    private static Consumer<byte[]> reportsIllegalArgument(Consumer<byte[]> decoder) {
        return bytes -> {
            try {
                decoder.accept(bytes);
            } catch (IllegalArgumentException e) {
                assertTrue(e.getMessage() != null, "no reason for the log");
            }
        };
    }

    /** Messages between hosts, records and shared state. */
    public static final class BetweenHosts {
        /** Guards against a request that is neither decoded nor reported as malformed. */
        @Test
        public void requests() {
            Vector<PeerRequest> requests =
                    Vector.of(
                            new PeerRequest.Ping(new HostId("h")),
                            new PeerRequest.Reserve(
                                    new ShardId(1),
                                    new ProgramId("p"),
                                    new CallId("c"),
                                    1,
                                    2,
                                    new StreamStart.Begins(ORIGIN)),
                            new PeerRequest.Append(
                                    new ShardId(1),
                                    new Epoch(3),
                                    new StoreId("store-1"),
                                    Vector.of(TURN, CHARGE)));
            requests.forEach(
                    request ->
                            damage(
                                    MessageCodec.encode(request),
                                    reportsIllegalArgument(MessageCodec::decodeRequest)));
        }

        /** Guards against a reply that is neither decoded nor reported as malformed. */
        @Test
        public void replies() {
            Vector<PeerReply> replies =
                    Vector.of(
                            new PeerReply.Outstanding(),
                            new PeerReply.Reserved(ORIGIN),
                            new PeerReply.Stale(new Epoch(4)),
                            new PeerReply.Alive(new StoreId("store-1")),
                            new PeerReply.Collected(Vector.of(TURN, CHARGE), 2));
            replies.forEach(
                    reply ->
                            damage(
                                    MessageCodec.encode(reply),
                                    reportsIllegalArgument(MessageCodec::decodeReply)));
        }

        /** Guards against a record that ends the start of a storage host. */
        @Test
        public void records() {
            for (StoredRecord record : new StoredRecord[] {TURN, CHARGE}) {
                damage(
                        RecordCodec.encode(new RecordCodec.LoggedRecord(new ShardId(2), record)),
                        reportsIllegalArgument(RecordCodec::decode));
            }
        }

        /** Guards against a registration or layout that ends the watch of a host. */
        @Test
        public void sharedState() {
            SharedStateCodec codec = new ThriftSharedStateCodec();
            Layout layout =
                    new Layout(Vector.of(new View(new ShardId(0), new Epoch(1), Vector.of(HOST))));
            damage(codec.encode(layout), reportsIllegalArgument(codec::decodeLayout));
            damage(codec.encode(HOST), reportsIllegalArgument(codec::decodeStorageHost));
            EntryHost entry =
                    new EntryHost(HOST.host(), HOST.address(), HOST.zone(), HOST.address(), 750);
            damage(codec.encode(entry), reportsIllegalArgument(codec::decodeEntryHost));
        }
    }

    /** Documents that the platform's operators and endpoints write. */
    public static final class FromThePlatform {
        private final PlatformAdapter adapter = new FleetAdapter();

        /** Guards against a registration that is neither decoded nor reported. */
        @Test
        public void registrations() {
            String registration =
                    "{\"service\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":1,"
                            + "\"slots\":6,\"state\":\"ready\",\"sequence\":1,\"born\":12}";
            damage(
                    registration.getBytes(StandardCharsets.UTF_8),
                    bytes -> adapter.decodeEndpoint("servers/i-1", bytes));
        }

        /** Guards against a release that is neither decoded nor reported. */
        @Test
        public void releases() {
            String release =
                    "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/a/\","
                            + "\"type\":\"streaming\",\"service\":\"m\",\"timeoutMs\":3000,"
                            + "\"retentionS\":60,\"stateful\":true,\"maxAttempts\":1}],"
                            + "\"services\":[{\"name\":\"m\",\"engine\":{\"chunkTokens\":4}}],"
                            + "\"limits\":{\"maxBodyBytes\":4096,\"idleTimeoutMs\":1000}}";
            damage(release.getBytes(StandardCharsets.UTF_8), adapter::decodeRelease);
        }
    }
}
