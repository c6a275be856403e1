package org.tamarackfold.node.runtime;

import io.undertow.Undertow;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.LayoutBook;
import org.tamarackfold.peer.LayoutManager;
import org.tamarackfold.peer.LayoutPlanner;
import org.tamarackfold.peer.Member;
import org.tamarackfold.peer.PeerMonitor;
import org.tamarackfold.peer.ReplicaService;
import org.tamarackfold.peer.ShardTable;
import org.tamarackfold.peer.SharedKeys;
import org.tamarackfold.peer.SharedStateListener;
import org.tamarackfold.peer.disk.SegmentLog;
import org.tamarackfold.peer.http.PeerHandler;
import org.tamarackfold.peer.thrift.RecordCodec;
import org.tamarackfold.settings.HostSettings;

/** A storage host: holds token budgets and turn histories durably. */
public final class StorageNode implements Host {
    private static final StructuredLog LOG = StructuredLog.of("storage");

    /** Share of the disk that may be appended before old segments are replaced. */
    private static final int COMPACTION_DIVISOR = 6;

    /** Pause between two removals of expired records. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(5);

    /** Longest time to hand the shards over before a stop. */
    private static final Duration HANDOVER = Duration.ofSeconds(4);

    private final HostParts parts;
    private final SegmentLog log;
    private final ShardTable shards;
    private final Member self;
    private final LayoutPlanner planner;
    private final LayoutManager manager;
    private final PeerMonitor monitor;
    private final LeasedKey registration;
    private final Retirement retirement;
    private final Undertow server;

    private StorageNode(HostSettings settings, PlatformAdapter adapter) throws IOException {
        parts = new HostParts(settings, adapter);
        List<RecordCodec.Logged> restored = new ArrayList<>();
        log =
                SegmentLog.open(
                        settings.dataFolder().get(),
                        settings.diskMegabytes() * 1_000_000L / COMPACTION_DIVISOR,
                        restored::add);
        shards = new ShardTable(log.storeId());
        restored.forEach(logged -> shards.restore(logged.shard(), logged.record()));
        log.start(this::liveRecords);
        self = new Member(settings.host(), log.storeId(), settings.peers(), settings.zone());
        monitor = new PeerMonitor(settings.host(), parts.channel(), parts.scheduler());
        planner = new LayoutPlanner(settings.toleratedLosses());
        manager = manager();
        retirement = new Retirement(parts, self);
        registration =
                parts.registration(
                        SharedKeys.storageHost(settings.host()), parts.codec().encode(self));
        server =
                new Listeners(parts.runtime())
                        .add(settings.peers(), new PeerHandler(replicaService()))
                        .add(settings.metrics(), Handlers.metrics(parts.metrics()))
                        .start();
        LOG.event("restored").with("store", self.store()).with("records", restored.size()).info();
    }

    /** Starts a storage host. */
    public static StorageNode start(HostSettings settings, PlatformAdapter adapter)
            throws IOException {
        StorageNode node = new StorageNode(settings, adapter);
        node.run();
        return node;
    }

    private LayoutManager manager() {
        return LayoutManager.builder()
                .self(self)
                .service(parts.keyValue())
                .codec(parts.codec())
                .layouts(parts.layouts())
                .members(parts.members())
                .monitor(monitor)
                .shards(shards)
                .planner(planner)
                .log(log)
                .channel(parts.channel())
                .scheduler(parts.scheduler())
                .build();
    }

    private ReplicaService replicaService() {
        return new ReplicaService(
                self,
                planner.copies(),
                shards,
                log,
                parts.channel(),
                parts.scheduler(),
                InstantSource.system());
    }

    private Vector<RecordCodec.Logged> liveRecords() {
        Vector<RecordCodec.Logged> all = Vector.empty();
        for (ShardId shard : shards.shardIds()) {
            all =
                    all.appendAll(
                            shards.durableRecords(shard)
                                    .map(record -> new RecordCodec.Logged(shard, record)));
        }
        return all;
    }

    private void run() {
        SharedStateListener sharedState =
                parts.sharedState(
                        this::layoutRead,
                        SharedKeys.storageHost(parts.settings().host()),
                        registration);
        parts.watch(
                new PrefixDispatcher()
                        .add(SharedKeys.ROOT, sharedState)
                        .add(parts.adapter().operatorPrefix(), retirement));
        registration.start();
        monitor.start();
        manager.start();
        parts.scheduler().after(EXPIRY_INTERVAL, this::expire);
    }

    private void layoutRead(LayoutBook.Stored stored) {
        manager.layoutRead(stored);
        retirement.layoutChanged();
    }

    private void expire() {
        int removed = shards.removeExpired(InstantSource.system().millis());
        if (removed > 0) {
            LOG.event("expired").with("records", removed).info();
        }
        parts.scheduler().after(EXPIRY_INTERVAL, this::expire);
    }

    @Override
    public void stop() {
        LOG.event("stopping").with("store", self.store()).info();
        parts.members().setRetiring(self.host(), true);
        StopWait.until(() -> !retirement.holdsShards(), HANDOVER);
        registration.stop();
        LOG.event("stopped").with("holds_shards", retirement.holdsShards()).info();
        server.stop();
        log.close();
    }
}
