package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.peer.thrift.ThriftSharedStateCodec;
import org.tamarackfold.standin.MemoryKeyValueService;
import org.tamarackfold.standin.MemoryRecordLog;
import org.tamarackfold.standin.SimulatedNetwork;
import org.tamarackfold.standin.VirtualScheduler;
import org.tamarackfold.time.Scheduler;

/** Storage hosts in one process under virtual time, with an entry host that uses them. */
final class StorageCluster {
    private static final Duration SYNC = Duration.ofMillis(2);
    private static final Duration LEASE = Duration.ofSeconds(4);
    static final Address ENTRY = new Address("10.0.9.1", 7000);

    final VirtualScheduler scheduler = new VirtualScheduler();
    final Random random;
    final MemoryKeyValueService keyValue = new MemoryKeyValueService(scheduler);
    final SimulatedNetwork network;
    final ThriftSharedStateCodec codec = new ThriftSharedStateCodec();
    final MemberTable entryMembers = new MemberTable();
    final LayoutBook entryLayouts = new LayoutBook();
    final HistoryClient client;
    final List<StorageHost> hosts = new ArrayList<>();
    private final LayoutPlanner planner;
    private int stores;

    StorageCluster(int size, LayoutPlanner planner, long seed) {
        this.planner = planner;
        random = new Random(seed);
        network = new SimulatedNetwork(scheduler, random);
        client =
                new HistoryClient(
                        entryLayouts,
                        new PeerRoutes(
                                new HostId("entry-1"),
                                network.channelOf(ENTRY),
                                entryMembers,
                                scheduler,
                                random),
                        scheduler);
        follow(entryMembers, entryLayouts::offer, "none", () -> {}, scheduler);
        for (int index = 0; index < size; index++) {
            StorageHost host = new StorageHost(index);
            hosts.add(host);
            host.start();
        }
    }

    /** Advances until the first layout is in force. */
    static StorageCluster formed(int size, int toleratedLosses, long seed) {
        StorageCluster cluster = new StorageCluster(size, new LayoutPlanner(toleratedLosses), seed);
        cluster.run(4_000);
        return cluster;
    }

    /** Adds an entry host that passes requests on. */
    void addRelay() {
        Address address = new Address("10.0.9.2", 7000);
        EntryHost relay =
                new EntryHost(
                        new HostId("entry-2"), address, new AvailabilityZone("zone-1"), address);
        network.attach(address, new RelayService(network.channelOf(address)));
        entryMembers.put(SharedKeys.entryHost(relay.host()), relay);
    }

    void run(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    Layout layout() {
        return entryLayouts.current().get().layout();
    }

    StorageHost hostOf(Member member) {
        return hosts.stream().filter(h -> h.member.host().equals(member.host())).findFirst().get();
    }

    private void follow(
            MemberTable members,
            Consumer<LayoutBook.Stored> onLayout,
            String ownKey,
            Runnable onRemoved,
            Scheduler timers) {
        SharedStateListener listener =
                new SharedStateListener(members, codec, onLayout, ownKey, onRemoved);
        new PrefixWatcher(keyValue, SharedKeys.ROOT, listener, timers, random).start();
    }

    /** A storage host that can be killed, cut off, wiped and started again. */
    final class StorageHost {
        private final int index;
        MemoryRecordLog log = new MemoryRecordLog(scheduler, SYNC);
        Member member;
        private Life life;
        MemberTable members;

        /** Drops the timers of a process that has ended. */
        private final class Life implements Scheduler {
            private boolean over;

            @Override
            public long nanoTime() {
                return scheduler.nanoTime();
            }

            @Override
            public void after(Duration delay, Runnable action) {
                scheduler.after(
                        delay,
                        () -> {
                            if (!over) {
                                action.run();
                            }
                        });
            }
        }

        StorageHost(int index) {
            this.index = index;
            member = newMember();
        }

        private Member newMember() {
            return new Member(
                    new HostId("storage-" + index),
                    new StoreId("store-" + stores++),
                    new Address("10.0.0." + (index + 1), 7000),
                    new AvailabilityZone("zone-" + index % 4));
        }

        boolean isRunning() {
            return life != null;
        }

        void kill() {
            if (life != null) {
                life.over = true;
                life = null;
                network.detach(member.address());
            }
        }

        void losePower() {
            kill();
            log.loseUnsynced();
        }

        void wipe() {
            losePower();
            log = new MemoryRecordLog(scheduler, SYNC);
            member = newMember();
        }

        void start() {
            if (life != null) {
                return;
            }
            life = new Life();
            members = new MemberTable();
            ShardTable shards = new ShardTable(member.store());
            log.replay(shards::restore);
            PeerChannel channel = network.channelOf(member.address());
            PeerMonitor monitor = new PeerMonitor(member.host(), channel, life);
            LayoutManager manager =
                    LayoutManager.builder()
                            .self(member)
                            .service(keyValue)
                            .codec(codec)
                            .layouts(new LayoutBook())
                            .members(members)
                            .monitor(monitor)
                            .shards(shards)
                            .planner(planner)
                            .log(log)
                            .channel(channel)
                            .scheduler(life)
                            .build();
            network.attach(
                    member.address(),
                    new ReplicaService(
                            member, planner.copies(), shards, log, channel, life, scheduler));
            String key = SharedKeys.storageHost(member.host());
            LeasedKey registration =
                    new LeasedKey(keyValue, key, codec.encode(member), LEASE, life);
            follow(members, manager::layoutRead, key, registration::renewKey, life);
            registration.start();
            monitor.start();
            manager.start();
        }
    }

    static Vector<Member> membersOf(Layout layout) {
        return layout.views().flatMap(View::members).distinct();
    }
}
