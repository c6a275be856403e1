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
 * Brings the members of shards up to date on a storage host. A change copies records to the members
 * that lack them and then replaces the layout by compare-and-swap, so that of several hosts that
 * change the same shard one succeeds.
 */
public final class LayoutManager {
    private static final StructuredLog LOG = StructuredLog.of("layout");

    /** Shards of a new layout; more than enough to spread over the storage hosts of a fleet. */
    private static final int SHARDS = 16;

    /** Pause between two checks. */
    private static final Duration INTERVAL = Duration.ofMillis(200);

    /** Age of the process before it writes the first layout, so that most hosts are registered. */
    private static final Duration FIRST_LAYOUT_AGE = Duration.ofMillis(1_500);

    private final Member self;
    private final LayoutBook layouts;
    private final MemberTable members;
    private final PeerMonitor monitor;
    private final ShardTable shards;
    private final LayoutPlanner planner;
    private final ShardTransfer transfer;
    private final LayoutWriter writer;
    private final Scheduler scheduler;
    private final long startedAt;
    private boolean busy;

    private LayoutManager(Builder builder) {
        this.self = builder.self;
        this.layouts = builder.layouts;
        this.members = builder.members;
        this.monitor = builder.monitor;
        this.shards = builder.shards;
        this.planner = builder.planner;
        this.transfer =
                new ShardTransfer(builder.self, builder.shards, builder.log, builder.channel);
        this.scheduler = builder.scheduler;
        this.writer =
                new LayoutWriter(
                        builder.service, builder.codec, layouts, scheduler, this::layoutRead);
        this.startedAt = scheduler.nanoTime();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts to check. */
    public void start() {
        scheduler.after(INTERVAL, this::check);
    }

    /** Takes over a layout that was read from the key-value service. */
    public void layoutRead(LayoutBook.Stored stored) {
        if (!layouts.offer(stored)) {
            return;
        }
        Layout layout = stored.layout();
        shards.adopt(layout);
        LOG.event("layout_adopted")
                .with("revision", stored.revision())
                .with("primary_of", layout.views().count(v -> v.hasPrimary(self.store())))
                .with("member_of", layout.views().count(v -> v.contains(self.store())))
                .info();
    }

    private void check() {
        scheduler.after(INTERVAL, this::check);
        act();
    }

    private void act() {
        Option<LayoutBook.Stored> stored = layouts.current();
        watchPeers(stored);
        if (busy) {
            return;
        }
        if (stored.isEmpty()) {
            writeFirstLayout();
            return;
        }
        Vector<LayoutPlanner.Change> changes =
                planner.changes(
                        stored.get().layout(),
                        self.store(),
                        members.storageHosts(),
                        new CurrentBeliefs());
        if (!changes.isEmpty()) {
            bringAbout(stored.get(), changes);
        }
    }

    private final class CurrentBeliefs implements LayoutPlanner.Beliefs {
        @Override
        public boolean isSuspected(Member member) {
            return monitor.isSuspected(member);
        }

        @Override
        public boolean isGone(Member member) {
            return monitor.isGone(member);
        }

        @Override
        public boolean isRetiring(Member member) {
            return members.retiring().contains(member.host());
        }

        @Override
        public boolean needsNewEpoch(View view) {
            return shards.needsNewEpoch(view);
        }
    }

    private void watchPeers(Option<LayoutBook.Stored> stored) {
        Set<Member> watched =
                HashSet.ofAll(stored.map(s -> s.layout().views()).getOrElse(Vector.empty()))
                        .flatMap(View::members)
                        .addAll(members.storageHosts())
                        .reject(member -> member.store().equals(self.store()));
        monitor.watch(watched);
    }

    private void writeFirstLayout() {
        if (scheduler.nanoTime() - startedAt < FIRST_LAYOUT_AGE.toNanos()) {
            return;
        }
        Option<Layout> first = planner.initial(members.storageHosts(), SHARDS);
        if (first.isDefined()) {
            busy = true;
            writer.writeFirst(first.get()).thenAccept(unused -> busy = false);
        }
    }

    private void bringAbout(LayoutBook.Stored stored, Vector<LayoutPlanner.Change> changes) {
        busy = true;
        CompletableFuture<Vector<View>> ready = CompletableFuture.completedFuture(Vector.empty());
        for (LayoutPlanner.Change change : changes) {
            View view = change.current();
            LOG.event("change_started")
                    .with("shard", view.shard())
                    .with("epoch", view.epoch())
                    .with("kept", change.kept().map(Member::host).mkString(","))
                    .with("joining", change.joiners().map(Member::host).mkString(","))
                    .info();
            ready =
                    ready.thenCombine(
                            transfer.prepare(change),
                            (views, good) -> good ? views.append(change.next()) : views);
        }
        ready.thenCompose(views -> publish(stored, changes, views)).thenAccept(this::ended);
    }

    /** Goes on at once where another host has replaced the layout first. */
    private void ended(boolean decided) {
        busy = false;
        if (decided) {
            act();
        }
    }

    private CompletableFuture<Boolean> publish(
            LayoutBook.Stored stored, Vector<LayoutPlanner.Change> changes, Vector<View> views) {
        changes.filter(change -> !views.exists(v -> v.shard().equals(change.current().shard())))
                .forEach(change -> giveUp(change.current().shard()));
        if (views.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        return writer.publish(stored, views)
                .thenApply(
                        unused -> {
                            views.forEach(view -> giveUp(view.shard()));
                            changes.reject(LayoutPlanner.Change::hasSameMembers)
                                    .map(LayoutPlanner.Change::next)
                                    .filter(views::contains)
                                    .forEach(shards::established);
                            return true;
                        });
    }

    /** Ends a change; where the new view is in force, the shard table has dropped these marks. */
    private void giveUp(ShardId shard) {
        shards.stopJoining(shard);
        shards.unfence(shard);
    }

    /** Builds a manager. */
    public static final class Builder {
        private Member self;
        private KeyValueService service;
        private SharedStateCodec codec;
        private LayoutBook layouts;
        private MemberTable members;
        private PeerMonitor monitor;
        private ShardTable shards;
        private LayoutPlanner planner;
        private RecordLog log;
        private PeerChannel channel;
        private Scheduler scheduler;

        private Builder() {}

        /** Sets this host. */
        public Builder self(Member value) {
            self = value;
            return this;
        }

        /** Sets the key-value service. */
        public Builder service(KeyValueService value) {
            service = value;
            return this;
        }

        /** Sets the encoding of the layout. */
        public Builder codec(SharedStateCodec value) {
            codec = value;
            return this;
        }

        /** Sets the latest layout. */
        public Builder layouts(LayoutBook value) {
            layouts = value;
            return this;
        }

        /** Sets the registered hosts. */
        public Builder members(MemberTable value) {
            members = value;
            return this;
        }

        /** Sets the failure detector. */
        public Builder monitor(PeerMonitor value) {
            monitor = value;
            return this;
        }

        /** Sets the shards of this host. */
        public Builder shards(ShardTable value) {
            shards = value;
            return this;
        }

        /** Sets the planner. */
        public Builder planner(LayoutPlanner value) {
            planner = value;
            return this;
        }

        /** Sets the durable log of this host. */
        public Builder log(RecordLog value) {
            log = value;
            return this;
        }

        /** Sets the channel to other hosts. */
        public Builder channel(PeerChannel value) {
            channel = value;
            return this;
        }

        /** Sets the scheduler. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Creates the manager. */
        public LayoutManager build() {
            return new LayoutManager(this);
        }
    }
}
