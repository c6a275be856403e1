package org.tamarackfold.node.runtime;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.FailureDetector;
import org.tamarackfold.peer.LayoutHolder;
import org.tamarackfold.peer.LayoutManager;
import org.tamarackfold.peer.LayoutPlanner;
import org.tamarackfold.peer.ReplicaService;
import org.tamarackfold.peer.ShardTable;
import org.tamarackfold.peer.SharedKeys;
import org.tamarackfold.peer.SharedStateListener;
import org.tamarackfold.peer.StorageHost;
import org.tamarackfold.peer.disk.SegmentLog;
import org.tamarackfold.peer.http.PeerHandler;
import org.tamarackfold.peer.thrift.RecordCodec;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.transport.HttpListeners;

/** A storage host: stores token budgets and turn histories durably. */
public final class StorageNode implements Host {
    private static final StructuredLog LOG = StructuredLog.of("storage");

    /** The log is compacted each time a sixth of the disk size has been appended. */
    private static final int COMPACTION_DIVISOR = 6;

    /** Appended bytes after which the log is compacted when the size of the disk is not known. */
    private static final long DEFAULT_COMPACTION_BYTES = 50_000_000;

    /** Interval between two removals of expired records. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(5);

    /** Timeout on shutdown for moving the shards of this host to other hosts. */
    private static final Duration SHARD_MOVE_TIMEOUT = Duration.ofSeconds(4);

    private final HostComponents components;
    private final SegmentLog recordLog;
    private final ShardTable shards;
    private final StorageHost self;
    private final LayoutPlanner layoutPlanner;
    private final LayoutManager layoutManager;
    private final FailureDetector failureDetector;
    private final LeasedKey registration;
    private final RetirementListener retirementListener;
    private final HttpListeners listeners;
    private final AtomicBoolean stopping = new AtomicBoolean();

    private StorageNode(HostSettings settings, PlatformAdapter adapter) throws IOException {
        components = new HostComponents(settings, adapter);
        long diskBytes = settings.diskMegabytes() * 1_000_000L;
        recordLog =
                SegmentLog.open(
                        settings.dataFolder().get(),
                        diskBytes > 0 ? diskBytes / COMPACTION_DIVISOR : DEFAULT_COMPACTION_BYTES,
                        diskBytes);
        components.metrics().observeDisk(recordLog::usedBytes, diskBytes);
        shards = new ShardTable(recordLog.storeId(), Runtime.getRuntime().maxMemory(), diskBytes);
        long nowMillis = InstantSource.system().millis();
        long restoredRecords =
                recordLog.replay(
                        logged -> shards.restore(logged.shard(), logged.record(), nowMillis));
        recordLog.start(this::durableRecords);
        self =
                new StorageHost(
                        settings.host(),
                        recordLog.storeId(),
                        settings.peerAddress(),
                        settings.zone());
        failureDetector =
                new FailureDetector(settings.host(), components.channel(), components.scheduler());
        layoutPlanner = new LayoutPlanner(settings.toleratedLosses());
        layoutManager = newLayoutManager();
        retirementListener = new RetirementListener(components, self);
        registration =
                components.newRegistration(
                        SharedKeys.storageHost(settings.host()), components.codec().encode(self));
        listeners =
                components
                        .newListeners()
                        .add(settings.peerAddress(), new PeerHandler(newReplicaService()))
                        .add(settings.metricsAddress(), Handlers.metrics(components.metrics()))
                        .start();
        LOG.event("restored").with("store", self.store()).with("records", restoredRecords).info();
    }

    /**
     * Starts a storage host: restores its records from disk, then registers it.
     *
     * @throws IOException when the I/O threads cannot be created or the disk cannot be read
     */
    public static StorageNode start(HostSettings settings, PlatformAdapter adapter)
            throws IOException {
        StorageNode node = new StorageNode(settings, adapter);
        node.startServices();
        return node;
    }

    private LayoutManager newLayoutManager() {
        return LayoutManager.builder()
                .self(self)
                .service(components.keyValue())
                .codec(components.codec())
                .layouts(components.layouts())
                .hostTable(components.hostTable())
                .failureDetector(failureDetector)
                .shards(shards)
                .planner(layoutPlanner)
                .log(recordLog)
                .channel(components.channel())
                .scheduler(components.scheduler())
                .build();
    }

    private ReplicaService newReplicaService() {
        return new ReplicaService(
                self,
                layoutPlanner.writeQuorum(),
                shards,
                recordLog,
                components.channel(),
                components.scheduler(),
                InstantSource.system());
    }

    private Vector<RecordCodec.LoggedRecord> durableRecords() {
        Vector<RecordCodec.LoggedRecord> records = Vector.empty();
        for (ShardId shard : shards.shardIds()) {
            records =
                    records.appendAll(
                            shards.durableRecords(shard)
                                    .map(record -> new RecordCodec.LoggedRecord(shard, record)));
        }
        return records;
    }

    private void startServices() {
        SharedStateListener sharedStateListener =
                components.newSharedStateListener(
                        this::onLayout,
                        SharedKeys.storageHost(components.settings().host()),
                        registration);
        components.startWatch(
                new PrefixDispatcher()
                        .add(SharedKeys.ROOT, sharedStateListener)
                        .add(components.adapter().operatorPrefix(), retirementListener));
        registration.start();
        failureDetector.start();
        layoutManager.start();
        components.scheduler().after(EXPIRY_INTERVAL, this::removeExpiredRecords);
    }

    private void onLayout(LayoutHolder.VersionedLayout versioned) {
        layoutManager.onLayoutRead(versioned);
        retirementListener.onLayoutChanged();
    }

    private void removeExpiredRecords() {
        int removed = shards.removeExpired(InstantSource.system().millis());
        if (removed > 0) {
            LOG.event("expired").with("records", removed).info();
        }
        recordLog.onRecordsExpired();
        components.scheduler().after(EXPIRY_INTERVAL, this::removeExpiredRecords);
    }

    @Override
    public void stop() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        LOG.event("stopping").with("store", self.store()).info();
        components.hostTable().setDraining(self.host(), true);
        PollingWait.until(() -> !retirementListener.holdsShards(), SHARD_MOVE_TIMEOUT);
        registration.stop();
        LOG.event("stopped").with("holds_shards", retirementListener.holdsShards()).info();
        listeners.stop();
        recordLog.close();
        components.stop();
    }
}
