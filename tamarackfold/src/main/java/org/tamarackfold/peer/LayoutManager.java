package org.tamarackfold.peer;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/**
 * Reconciles the layout with the state of the storage hosts; runs on every storage host. A change
 * first copies records to the members that lack them and then replaces the layout by
 * compare-and-swap, so that only one of several hosts that change the same shard succeeds.
 */
public final class LayoutManager {
    private static final StructuredLog LOG = StructuredLog.of("layout");

    /**
     * Number of shards of a new layout; enough to spread them over the storage hosts of a fleet.
     */
    private static final int SHARD_COUNT = 16;

    /** Interval between two reconciliations. */
    private static final Duration RECONCILE_INTERVAL = Duration.ofMillis(200);

    /**
     * Time from the start of the process until it may write the initial layout, so that most hosts
     * have registered by then.
     */
    private static final Duration INITIAL_LAYOUT_DELAY = Duration.ofMillis(1_500);

    private final StorageHost self;
    private final LayoutHolder layouts;
    private final HostTable hostTable;
    private final FailureDetector failureDetector;
    private final ShardTable shards;
    private final LayoutPlanner planner;
    private final ShardTransfer transfer;
    private final LayoutWriter writer;
    private final Scheduler scheduler;
    private final long startedAtNanos;
    private volatile boolean changeInProgress;

    private LayoutManager(Builder builder) {
        this.self = builder.self;
        this.layouts = builder.layouts;
        this.hostTable = builder.hostTable;
        this.failureDetector = builder.failureDetector;
        this.shards = builder.shards;
        this.planner = builder.planner;
        this.transfer =
                new ShardTransfer(builder.self, builder.shards, builder.log, builder.channel);
        this.scheduler = builder.scheduler;
        this.writer =
                new LayoutWriter(
                        builder.service, builder.codec, layouts, scheduler, this::onLayoutRead);
        this.startedAtNanos = scheduler.nanoTime();
    }

    /** Returns a builder, of which all values must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts the periodic reconciliation; the first one follows after one interval. */
    public void start() {
        scheduler.after(RECONCILE_INTERVAL, this::reconcilePeriodically);
    }

    /** Adopts a layout that was read from the key-value service, unless a later one is known. */
    public void onLayoutRead(LayoutHolder.VersionedLayout versioned) {
        if (!layouts.adoptIfNewer(versioned)) {
            return;
        }
        Layout layout = versioned.layout();
        shards.adopt(layout);
        LOG.event("layout_adopted")
                .with("revision", versioned.revision())
                .with("primary_of", layout.views().count(view -> view.hasPrimary(self.store())))
                .with("member_of", layout.views().count(view -> view.contains(self.store())))
                .info();
    }

    private void reconcilePeriodically() {
        scheduler.after(RECONCILE_INTERVAL, this::reconcilePeriodically);
        reconcile();
    }

    private void reconcile() {
        Option<LayoutHolder.VersionedLayout> versioned = layouts.current();
        updateMonitoredHosts(versioned);
        if (changeInProgress) {
            return;
        }
        if (versioned.isEmpty()) {
            writeInitialLayout();
            return;
        }
        Vector<LayoutPlanner.Change> changes =
                planner.planChanges(
                        versioned.get().layout(),
                        self.store(),
                        hostTable.storageHosts(),
                        new CurrentStatus());
        if (!changes.isEmpty()) {
            applyChanges(versioned.get(), changes);
        }
    }

    private final class CurrentStatus implements LayoutPlanner.ClusterStatus {
        @Override
        public boolean isSuspected(StorageHost host) {
            return failureDetector.isSuspected(host);
        }

        @Override
        public boolean isDead(StorageHost host) {
            return failureDetector.isDead(host);
        }

        @Override
        public boolean isDraining(StorageHost host) {
            return hostTable.draining().contains(host.host());
        }

        @Override
        public boolean needsNewEpoch(View view) {
            return shards.needsNewEpoch(view);
        }
    }

    private void updateMonitoredHosts(Option<LayoutHolder.VersionedLayout> versioned) {
        Set<StorageHost> monitored =
                HashSet.ofAll(versioned.map(v -> v.layout().views()).getOrElse(Vector.empty()))
                        .flatMap(View::members)
                        .addAll(hostTable.storageHosts())
                        .reject(host -> host.store().equals(self.store()));
        failureDetector.setMonitoredHosts(monitored);
    }

    private void writeInitialLayout() {
        if (scheduler.nanoTime() - startedAtNanos < INITIAL_LAYOUT_DELAY.toNanos()) {
            return;
        }
        Option<Layout> initial = planner.initialLayout(hostTable.storageHosts(), SHARD_COUNT);
        if (initial.isDefined()) {
            changeInProgress = true;
            writer.writeInitial(initial.get())
                    .whenComplete((unused, error) -> onChangesFinished(false, error));
        }
    }

    private void applyChanges(
            LayoutHolder.VersionedLayout versioned, Vector<LayoutPlanner.Change> changes) {
        changeInProgress = true;
        CompletableFuture<Vector<View>> preparedViews =
                CompletableFuture.completedFuture(Vector.empty());
        for (LayoutPlanner.Change change : changes) {
            View view = change.current();
            LOG.event("change_started")
                    .with("shard", view.shard())
                    .with("epoch", view.epoch())
                    .with("kept", change.kept().map(StorageHost::host).mkString(","))
                    .with("joining", change.joiners().map(StorageHost::host).mkString(","))
                    .info();
            preparedViews =
                    preparedViews.thenCombine(
                            transfer.prepare(change),
                            (views, prepared) -> prepared ? views.append(change.next()) : views);
        }
        preparedViews
                .thenCompose(views -> publish(versioned, changes, views))
                .whenComplete(this::onChangesFinished);
    }

    /**
     * Reconciles again at once after a layout was written, by this host or by another one. After an
     * unexpected error, the next periodic reconciliation follows.
     */
    private void onChangesFinished(Boolean layoutWritten, Throwable error) {
        changeInProgress = false;
        if (error != null) {
            LOG.event("change_failed").with("reason", error).warn();
            return;
        }
        if (layoutWritten) {
            reconcile();
        }
    }

    private CompletableFuture<Boolean> publish(
            LayoutHolder.VersionedLayout versioned,
            Vector<LayoutPlanner.Change> changes,
            Vector<View> views) {
        changes.filter(
                        change ->
                                !views.exists(
                                        view -> view.shard().equals(change.current().shard())))
                .forEach(change -> clearChangeState(change.current().shard()));
        if (views.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        changes.reject(LayoutPlanner.Change::hasSameMembers)
                .map(LayoutPlanner.Change::next)
                .filter(views::contains)
                .forEach(shards::markPrepared);
        return writer.publish(versioned, views)
                .thenApply(
                        unused -> {
                            views.forEach(view -> clearChangeState(view.shard()));
                            return true;
                        });
    }

    /**
     * Ends a change that was made or abandoned. When the new view has been adopted, the shard table
     * has already cleared this state.
     */
    private void clearChangeState(ShardId shard) {
        shards.clearRequiredReceivers(shard);
        shards.unfence(shard);
    }

    /** Builds a manager. */
    public static final class Builder {
        private StorageHost self;
        private KeyValueService service;
        private SharedStateCodec codec;
        private LayoutHolder layouts;
        private HostTable hostTable;
        private FailureDetector failureDetector;
        private ShardTable shards;
        private LayoutPlanner planner;
        private RecordLog log;
        private PeerChannel channel;
        private Scheduler scheduler;

        private Builder() {}

        /** Sets the registration of this host. */
        public Builder self(StorageHost value) {
            self = value;
            return this;
        }

        /** Sets the key-value service. */
        public Builder service(KeyValueService value) {
            service = value;
            return this;
        }

        /** Sets the codec of the layout. */
        public Builder codec(SharedStateCodec value) {
            codec = value;
            return this;
        }

        /** Sets the holder of the latest layout. */
        public Builder layouts(LayoutHolder value) {
            layouts = value;
            return this;
        }

        /** Sets the table of the registered hosts. */
        public Builder hostTable(HostTable value) {
            hostTable = value;
            return this;
        }

        /** Sets the failure detector. */
        public Builder failureDetector(FailureDetector value) {
            failureDetector = value;
            return this;
        }

        /** Sets the shard table of this host. */
        public Builder shards(ShardTable value) {
            shards = value;
            return this;
        }

        /** Sets the planner of layout changes. */
        public Builder planner(LayoutPlanner value) {
            planner = value;
            return this;
        }

        /** Sets the durable log of this host. */
        public Builder log(RecordLog value) {
            log = value;
            return this;
        }

        /** Sets the channel for requests to other hosts. */
        public Builder channel(PeerChannel value) {
            channel = value;
            return this;
        }

        /** Sets the scheduler that runs the reconciliation. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Creates the manager; it is not started. */
        public LayoutManager build() {
            return new LayoutManager(this);
        }
    }
}
