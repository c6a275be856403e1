package org.tamarackfold.node.runtime;

import java.io.IOException;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.metrics.NodeMetrics;
import org.tamarackfold.peer.LayoutBook;
import org.tamarackfold.peer.MemberTable;
import org.tamarackfold.peer.PeerChannel;
import org.tamarackfold.peer.SharedStateCodec;
import org.tamarackfold.peer.http.HttpPeerChannel;
import org.tamarackfold.peer.thrift.ThriftSharedStateCodec;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.time.Scheduler;
import org.tamarackfold.transport.HttpClientPool;
import org.tamarackfold.transport.IoRuntime;

/** The parts that every host has. */
final class HostParts {
    /** Reuse of an idle connection whose peer states no limit. */
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(4);

    private final HostSettings settings;
    private final PlatformAdapter adapter;
    private final IoRuntime runtime;
    private final HttpClientPool client;
    private final NodeMetrics metrics = new NodeMetrics();
    private final KeyValueService keyValue;
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private final SharedStateCodec codec = new ThriftSharedStateCodec();
    private final LayoutBook layouts = new LayoutBook();
    private final MemberTable members = new MemberTable();
    private final RandomGenerator random;

    HostParts(HostSettings settings, PlatformAdapter adapter) throws IOException {
        this.settings = settings;
        this.adapter = adapter;
        this.runtime = IoRuntime.start(1);
        this.client = new HttpClientPool(runtime, DEFAULT_IDLE.toNanos());
        this.scheduler = new WorkerScheduler(runtime);
        this.keyValue = adapter.keyValueService(client, settings.keyValue(), metrics);
        this.channel = new HttpPeerChannel(client, metrics);
        this.random = new java.util.Random(System.nanoTime() ^ settings.host().hashCode());
    }

    HostSettings settings() {
        return settings;
    }

    PlatformAdapter adapter() {
        return adapter;
    }

    IoRuntime runtime() {
        return runtime;
    }

    HttpClientPool client() {
        return client;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    KeyValueService keyValue() {
        return keyValue;
    }

    PeerChannel channel() {
        return channel;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    SharedStateCodec codec() {
        return codec;
    }

    LayoutBook layouts() {
        return layouts;
    }

    MemberTable members() {
        return members;
    }

    RandomGenerator random() {
        return random;
    }

    /** Returns the duration of a registration; the service grants no shorter lease than its own. */
    Duration registrationLease(Duration wanted) {
        Duration shortest = settings.keyValue().minimumLease();
        return wanted.compareTo(shortest) < 0 ? shortest : wanted;
    }

    /** Follows all keys with one watch. */
    void watch(PrefixDispatcher dispatcher) {
        new PrefixWatcher(keyValue, "", dispatcher, scheduler, random).start();
    }
}
