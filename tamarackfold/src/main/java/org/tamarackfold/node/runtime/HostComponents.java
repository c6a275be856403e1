package org.tamarackfold.node.runtime;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.keyvalue.WatchTiming;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.peer.HostTable;
import org.tamarackfold.peer.LayoutHolder;
import org.tamarackfold.peer.LimitedPeerChannel;
import org.tamarackfold.peer.PeerChannel;
import org.tamarackfold.peer.SharedStateCodec;
import org.tamarackfold.peer.SharedStateListener;
import org.tamarackfold.peer.http.HttpPeerChannel;
import org.tamarackfold.peer.thrift.ThriftSharedStateCodec;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.PropagationBounds;
import org.tamarackfold.time.Durations;
import org.tamarackfold.time.Scheduler;
import org.tamarackfold.transport.HttpListeners;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;

/** Components that entry hosts and storage hosts have in common. */
final class HostComponents {
    /**
     * Lease duration of the registration of a host. It bounds how long the directory still returns
     * a dead entry host; storage hosts detect failures by pings instead.
     */
    private static final Duration REGISTRATION_LEASE_DURATION = Duration.ofSeconds(4);

    /** Idle timeout of a pooled connection whose server sends no Keep-Alive timeout. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

    /** Timeout on shutdown for the tasks of the I/O threads, such as closing connections. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    private final HostSettings settings;
    private final PlatformAdapter adapter;
    private final IoRuntime runtime;
    private final PooledHttpClient client;
    private final HostMetrics metrics = new HostMetrics();
    private final KeyValueService keyValue;
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private final EventLoopMonitor eventLoop;
    private final SharedStateCodec codec = new ThriftSharedStateCodec();
    private final LayoutHolder layouts = new LayoutHolder();
    private final HostTable hostTable = new HostTable();
    private final RandomGenerator random;

    HostComponents(HostSettings settings, PlatformAdapter adapter) throws IOException {
        this.settings = settings;
        this.adapter = adapter;
        this.runtime = IoRuntime.start(1);
        this.client = new PooledHttpClient(runtime, DEFAULT_IDLE_TIMEOUT.toNanos());
        this.scheduler = new WorkerScheduler(runtime);
        this.keyValue = adapter.keyValueService(client, settings.keyValue(), metrics);
        this.channel = new LimitedPeerChannel(new HttpPeerChannel(client, metrics), scheduler);
        this.eventLoop = new EventLoopMonitor(scheduler, InstantSource.system(), metrics);
        eventLoop.start();
        this.random = new Random(System.nanoTime() ^ settings.host().hashCode());
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

    /** Returns a set of listeners without any, which share the I/O threads. */
    HttpListeners newListeners() {
        return new HttpListeners(runtime, metrics::recordMalformedRequest);
    }

    PooledHttpClient client() {
        return client;
    }

    HostMetrics metrics() {
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

    EventLoopMonitor eventLoop() {
        return eventLoop;
    }

    SharedStateCodec codec() {
        return codec;
    }

    LayoutHolder layouts() {
        return layouts;
    }

    HostTable hostTable() {
        return hostTable;
    }

    RandomGenerator random() {
        return random;
    }

    /** Returns the lease of the registration of this host. */
    Duration registrationLeaseDuration() {
        return Durations.max(
                REGISTRATION_LEASE_DURATION, settings.keyValue().minimumLeaseDuration());
    }

    /** Creates the registration of this host without starting it. */
    LeasedKey newRegistration(String key, byte[] value) {
        return new LeasedKey(keyValue, key, value, registrationLeaseDuration(), scheduler);
    }

    /**
     * Creates the listener for shared state; it writes the registration again when it is missing.
     */
    SharedStateListener newSharedStateListener(
            Consumer<LayoutHolder.VersionedLayout> onLayout,
            String ownKey,
            LeasedKey registration) {
        return new SharedStateListener(
                hostTable, codec, onLayout, ownKey, registration::rewriteKey);
    }

    /**
     * Watches all keys with one watcher, because every pending watch counts as a call to the
     * service.
     */
    void startWatch(PrefixDispatcher dispatcher) {
        new PrefixWatcher(keyValue, "", dispatcher, this::watchTiming, scheduler, random).start();
    }

    /**
     * Ends the I/O threads after the tasks that they have already been given; nothing is sent
     * afterwards. Blocks the calling thread, which must not be an I/O thread.
     */
    void stop() {
        CountDownLatch tasksDone = new CountDownLatch(1);
        runtime.ioThread().execute(tasksDone::countDown);
        try {
            tasksDone.await(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        runtime.stop();
    }

    /** Returns the timing of a watch at the service. */
    WatchTiming watchTiming() {
        PropagationBounds bounds = settings.propagationBounds();
        return WatchTiming.of(bounds.recovery(), bounds.shortest(), hostTable.size());
    }
}
