package org.tamarackfold.daemon.soak.runtime;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamarackfold.daemon.soak.CallKind;
import org.tamarackfold.daemon.soak.CrashChecks;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.CustomerChecks;
import org.tamarackfold.daemon.soak.FaultTimeline;
import org.tamarackfold.daemon.soak.KeyTable;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Program;
import org.tamarackfold.daemon.soak.http.EndpointProfile;
import org.tamarackfold.daemon.soak.http.EntryHost;
import org.tamarackfold.daemon.soak.http.LoopbackProxy;
import org.tamarackfold.daemon.soak.http.StandInEndpoint;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.platform.standin.KeyValueServer;
import org.tamarackfold.platform.standin.PlatformDocuments;
import org.tamarackfold.platform.standin.PlatformDocuments.CustomerRow;
import org.tamarackfold.platform.standin.PlatformDocuments.RouteRow;
import org.tamarackfold.standin.ExecutorScheduler;
import org.tamarackfold.standin.MemoryKeyValueService;

/**
 * The processes and stand-ins of a run. Only the thread that injects a fault changes its target.
 */
final class Fleet implements AutoCloseable {
    /** Time from SIGTERM to SIGKILL, in milliseconds. */
    static final long GRACE_MILLIS = 8_000;

    private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");
    private static final ServiceName LEDGER = new ServiceName("ledger");
    private static final ServiceName MODELS = new ServiceName("models");
    private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration RETENTION = Duration.ofMinutes(30);

    /** Time after which an endpoint that has crashed is back, in milliseconds. */
    private static final long CRASH_MILLIS = 2_000;

    /** Below the ports that the kernel gives to outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORT_SPAN = 18_000;

    /** Speeds of the endpoints of a service, of which each has one. */
    private static final Vector<Double> SPEEDS = Vector.of(0.6, 1.0, 1.6);

    private static final int AMPLE_SLOTS = 32;
    private static final int FLOODED_SLOTS = 8;

    /** An endpoint with its service. */
    static final class Slot {
        final ServiceName service;
        volatile StandInEndpoint endpoint;

        /** Speed of the endpoints in this slot with {@link SoakLoad#SPEEDS}. */
        final double speed;

        /** Held by the fault that replaces the endpoint. */
        final Semaphore reservation = new Semaphore(1);

        Slot(ServiceName service, double speed) {
            this.service = service;
            this.speed = speed;
        }
    }

    private final SoakOptions options;
    private final Ledger ledger;
    private final FaultTimeline timeline;
    private final CustomerChecks checks;
    private final CrashChecks crashes;
    private final KeyTable keys;
    private final MemoryKeyValueService keyValue =
            new MemoryKeyValueService(new ExecutorScheduler());
    private final KeyValueServer keyValueServer;
    private final Address keyValueAddress;
    private final AtomicInteger endpointCount = new AtomicInteger();
    private final AtomicInteger releaseVersion = new AtomicInteger();
    private int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() * 97 % PORT_SPAN);

    /** Proxies between callers and entry hosts, and between each host and the key-value service. */
    final List<LoopbackProxy> hostProxies = new ArrayList<>();

    final List<LoopbackProxy> keyValueProxies = new ArrayList<>();
    final List<HostProcess> hosts = new ArrayList<>();

    /** The links of each entry host to endpoints. */
    final Map<HostId, HostLinks> links = new HashMap<>();

    /** The servers through which entry hosts reach the key-value service, and the proxies. */
    private final Map<HostId, KeyValueServer> keyValueViews = new HashMap<>();

    private final Map<HostId, LoopbackProxy> keyValueLinks = new HashMap<>();
    final List<Slot> slots = new ArrayList<>();
    final List<EntryHost> entryHosts = new ArrayList<>();

    Fleet(
            SoakOptions options,
            FaultTimeline timeline,
            Ledger ledger,
            CustomerChecks checks,
            CrashChecks crashes,
            KeyTable keys)
            throws IOException {
        this.options = options;
        this.timeline = timeline;
        this.crashes = crashes;
        this.ledger = ledger;
        this.checks = checks;
        this.keys = keys;
        keyValueAddress = freeAddress();
        keyValueServer = new KeyValueServer(keyValue, keyValueAddress);
        writeRelease();
        for (double speed : SPEEDS) {
            addSlot(LEDGER, speed);
            addSlot(MODELS, speed);
        }
        for (int i = 1; i <= options.storageHosts(); i++) {
            addHost(new HostId("storage-" + i), false);
        }
        for (int i = 1; i <= options.entryHosts(); i++) {
            addHost(new HostId("entry-" + i), true);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killHosts));
        for (HostProcess host : hosts) {
            host.start();
        }
    }

    private void addSlot(ServiceName service, double speed) throws IOException {
        Slot slot = new Slot(service, speed);
        slots.add(slot);
        startEndpoint(slot, "1");
    }

    /** Starts an endpoint with a new id in a slot and registers it. */
    void startEndpoint(Slot slot, String softwareVersion) throws IOException {
        EndpointId id = new EndpointId(slot.service + "-" + endpointCount.incrementAndGet());
        boolean pauses = options.loads().contains(SoakLoad.SPEEDS);
        EndpointProfile profile =
                new EndpointProfile(
                        softwareVersion,
                        slotCount(slot.service),
                        pauses ? 1 / slot.speed : 1,
                        pauses);
        slot.endpoint =
                new StandInEndpoint(
                        id,
                        profile,
                        freeAddress(),
                        ledger,
                        checks,
                        crashes,
                        (request, crashed) -> crash(slot, crashed));
        register(slot, false);
    }

    /** Ends an endpoint that a request has crashed, and starts another one in its place. */
    private void crash(Slot slot, StandInEndpoint crashed) {
        Thread.ofVirtual().start(() -> replaceCrashed(slot, crashed));
    }

    private void replaceCrashed(Slot slot, StandInEndpoint crashed) {
        FaultTimeline.Entry fault =
                timeline.begin("crash of " + crashed.id(), FaultTimeline.Kind.UNPLANNED);
        try {
            for (HostLinks view : links.values()) {
                view.close(crashed.proxy().address());
            }
            crashed.close();
            boolean isReplaced = !slot.reservation.tryAcquire();
            Thread.sleep(CRASH_MILLIS);
            if (!isReplaced && slot.endpoint == crashed) {
                removeEndpoint(slot);
                startEndpoint(slot, crashed.profile().softwareVersion());
            }
            if (!isReplaced) {
                slot.reservation.release();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            fault.end();
        }
    }

    /** Floods go to one service, whose endpoints are then short. */
    private int slotCount(ServiceName service) {
        boolean isShort = options.loads().contains(SoakLoad.FLOODS) && service.equals(LEDGER);
        return isShort ? FLOODED_SLOTS : AMPLE_SLOTS;
    }

    void removeEndpoint(Slot slot) {
        String key = PlatformDocuments.registrationKey(slot.endpoint.id());
        write(Vector.empty(), Vector.of(key));
    }

    /** Writes the registration of an endpoint and returns after the acknowledgement. */
    void register(Slot slot, boolean draining) {
        StandInEndpoint endpoint = slot.endpoint;
        EndpointRecord record =
                new EndpointRecord(
                        endpoint.id(),
                        slot.service,
                        endpoint.proxy().address(),
                        ZONE,
                        endpoint.profile().slots(),
                        draining,
                        0,
                        new SoftwareVersion(endpoint.profile().softwareVersion()));
        write(Vector.of(PlatformDocuments.registration(record)), Vector.empty());
    }

    /** Makes the key-value service fail for an entry host. */
    void reject(HostId entryHost, Fault.Rejection rejection) throws IOException {
        switch (rejection) {
            case Fault.Rejection.Status(int status) ->
                    keyValueViews.get(entryHost).rejectWith(status);
            case Fault.Rejection.Connections(LoopbackProxy.Condition condition) ->
                    keyValueLinks.get(entryHost).set(condition);
        }
    }

    /** Ends all failures of the key-value service for an entry host. */
    void endRejection(HostId entryHost) throws IOException {
        keyValueViews.get(entryHost).rejectWith(0);
        keyValueLinks.get(entryHost).set(new LoopbackProxy.Condition.Clear());
    }

    /** Withdraws a key of each customer and adds another one. */
    synchronized void rotateKeys() {
        keys.beginRotation(System.nanoTime());
        writeRelease();
    }

    /** Writes the next release; versions increase in uneven steps. */
    private synchronized void writeRelease() {
        int version = releaseVersion.addAndGet(1 + releaseVersion.get() % 3);
        Vector<RouteRow> routes =
                Vector.<CallKind>of(
                                new CallKind.Plain(),
                                new CallKind.Once(),
                                new CallKind.Large(),
                                new CallKind.Stream(0),
                                new CallKind.ResumableStream(0),
                                new CallKind.Turn(0))
                        .map(Fleet::row);
        RouteRow added = new RouteRow("extra-" + version, routes.head().semantics(), false, LEDGER);
        write(
                Vector.of(
                        PlatformDocuments.release(
                                version,
                                routes.append(added),
                                keys.customers().map(this::row),
                                ROUTE_TIMEOUT.plusSeconds(version % 3),
                                RETENTION,
                                Program.TOKENS_PER_EVENT)),
                Vector.empty());
        keys.acknowledge(System.nanoTime());
    }

    private CustomerRow row(Customer customer) {
        return new CustomerRow(
                customer.name(), keys.keys(customer), customer.rate(), customer.burst());
    }

    private static RouteRow row(CallKind kind) {
        boolean isStream =
                kind.semantics() == CallSemantics.AT_MOST_ONCE_STREAM
                        || kind.semantics() == CallSemantics.RESUMABLE_STREAM;
        boolean keepsHistory = kind instanceof CallKind.Turn;
        return new RouteRow(
                kind.route(), kind.semantics(), keepsHistory, isStream ? MODELS : LEDGER);
    }

    private void write(Seq<KeyValueService.Put> puts, Seq<String> removals) {
        keyValue.write(Vector.empty(), puts, removals).join();
    }

    private void addHost(HostId id, boolean entry) throws IOException {
        LoopbackProxy keyValueProxy = new LoopbackProxy(entry ? startView(id) : keyValueAddress);
        keyValueProxies.add(keyValueProxy);
        keyValueLinks.put(id, keyValueProxy);
        String listeners = "";
        String storage = "";
        if (entry) {
            Address callers = freeAddress();
            Address directory = freeAddress();
            LoopbackProxy proxy = new LoopbackProxy(callers);
            hostProxies.add(proxy);
            entryHosts.add(new EntryHost(id, callers, proxy, directory));
            listeners =
                    "callers = \"%s\"\nreadiness = \"%s\"\ndirectory = \"%s\"\n"
                            .formatted(callers, freeAddress(), directory);
        } else {
            Path data = Files.createDirectories(options.folder().resolve(id + "-data"));
            storage = "folder = \"%s\"\ndisk_mb = 200\n".formatted(data);
        }
        String text =
                """
                role = "%s"
                host = "%s"
                availability_zone = "zone-a"
                adapter = "fleet"
                [listeners]
                peers = "%s"
                metrics = "%s"
                %s[key_value]
                address = "%s"
                minimum_lease_ms = 1000
                [storage]
                tolerated_losses = 1
                %s[shutdown]
                grace_s = %d
                [directory]
                time_to_live_ms = 1000
                [customers]
                withdrawal_ms = 5000
                limit_window_s = 5
                limit_overshoot = 0.1
                limit_tolerance = 20
                %s"""
                        .formatted(
                                entry ? "entry" : "storage",
                                id,
                                freeAddress(),
                                freeAddress(),
                                listeners,
                                keyValueProxy.address(),
                                storage,
                                GRACE_MILLIS / 1_000,
                                placement());
        Path settings = Files.writeString(options.folder().resolve(id + ".toml"), text);
        hosts.add(new HostProcess(id, settings, entry, ledger));
    }

    /** Returns the settings by which hosts learn the speeds of endpoints. */
    private String placement() {
        return options.loads().contains(SoakLoad.SPEEDS)
                ? "[placement]\nlearned_cost = true\n"
                : "";
    }

    /** Serves the key-value service to an entry host, with endpoints at links of its own. */
    private Address startView(HostId id) {
        HostLinks view = new HostLinks(keyValue);
        links.put(id, view);
        Address address = freeAddress();
        keyValueViews.put(id, new KeyValueServer(view, address));
        return address;
    }

    /** Returns an address that no process listens at. */
    private synchronized Address freeAddress() {
        while (true) {
            int port = FIRST_PORT + nextPort++ % PORT_SPAN;
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return new Address("127.0.0.1", socket.getLocalPort());
            } catch (IOException e) {
                // Another process uses the port; the next one is tried.
            }
        }
    }

    private void killHosts() {
        hosts.forEach(HostProcess::kill);
    }

    @Override
    public void close() throws IOException {
        killHosts();
        for (Slot slot : slots) {
            slot.endpoint.close();
        }
        for (HostLinks view : links.values()) {
            view.close();
        }
        keyValueViews.values().forEach(KeyValueServer::close);
        keyValueServer.close();
    }
}
