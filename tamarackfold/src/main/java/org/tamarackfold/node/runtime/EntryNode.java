package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.caller.StopSchedule;
import org.tamarackfold.caller.http.CallDependencies;
import org.tamarackfold.caller.http.CallHandler;
import org.tamarackfold.caller.http.EndpointPaths;
import org.tamarackfold.caller.http.ForwardHandler;
import org.tamarackfold.caller.http.MessageMemory;
import org.tamarackfold.endpoint.BreakTracer;
import org.tamarackfold.endpoint.EndpointRegistry;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.ReachabilityMonitor;
import org.tamarackfold.endpoint.http.PooledEndpointConnections;
import org.tamarackfold.endpoint.share.ServiceCapacity;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.node.EntryDirectory;
import org.tamarackfold.node.EntryFleet;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.ReleaseHolder;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.ForwardingHosts;
import org.tamarackfold.peer.HistoryClient;
import org.tamarackfold.peer.LayoutHolder;
import org.tamarackfold.peer.RelayService;
import org.tamarackfold.peer.SharedKeys;
import org.tamarackfold.peer.SharedStateListener;
import org.tamarackfold.peer.StorageRequestSender;
import org.tamarackfold.peer.http.HttpChangeSources;
import org.tamarackfold.peer.http.HttpPermitChannel;
import org.tamarackfold.peer.http.PeerHandler;
import org.tamarackfold.peer.release.ReleaseConfirmation;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.transport.HttpListeners;

/** An entry host: accepts calls from callers and forwards them to endpoints. */
public final class EntryNode implements Host {
    private static final StructuredLog LOG = StructuredLog.of("entry");

    /** Interval of the check whether the host is ready to register. */
    private static final Duration READY_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Callers may use an address for up to this multiple of its time to live. */
    private static final int ADDRESS_TTL_MULTIPLE = 3;

    private final HostComponents components;
    private final ReleaseHolder releases = new ReleaseHolder();
    private final ReleaseComponents releaseComponents;
    private final PlacementComponents placement;
    private final EndpointTable endpoints;
    private final EndpointListener endpointListener;
    private final LeasedKey registration;
    private final CustomerLimits customerLimits;
    private final EntryHost self;
    private final ReachabilityMonitor reachability;
    private final QuarantineComponents quarantine;
    private final CallHandler callHandler;
    private final ForwardHandler forwardHandler;
    private final Option<ChangeRelay> changeRelay;
    private final HttpListeners listeners;
    private final AtomicBoolean stopping = new AtomicBoolean();

    private EntryNode(HostSettings settings, PlatformAdapter adapter) throws IOException {
        components = new HostComponents(settings, adapter);
        releaseComponents = new ReleaseComponents(components, releases);
        EntryFleet fleet = new EntryFleet(settings.host(), components.hostTable());
        placement = PlacementComponents.of(components, fleet, this::capacityOf);
        endpoints =
                new EndpointTable(
                        settings.zone(),
                        components.random(),
                        fleet,
                        InstantSource.system(),
                        placement.policy());
        EndpointRegistry registry = new EndpointRegistry(endpoints, components.scheduler());
        endpointListener = new EndpointListener(adapter, registry);
        self = newSelf(settings);
        registration =
                components.newRegistration(
                        SharedKeys.entryHost(settings.host()), components.codec().encode(self));
        customerLimits = new CustomerLimits(components, releases, fleet, registration);
        reachability =
                new ReachabilityMonitor(
                        endpoints,
                        new PooledEndpointConnections(components.client()),
                        components.scheduler(),
                        components.random(),
                        this::onContactChanged);
        components.metrics().observeUnreachableEndpoints(reachability::unreachableCount);
        quarantine = new QuarantineComponents(components, endpoints);
        CallDependencies callDependencies = newCallDependencies();
        callHandler = new CallHandler(callDependencies);
        forwardHandler = new ForwardHandler(callDependencies);
        changeRelay =
                Option.when(
                        settings.propagationBounds().followers(),
                        () -> new ChangeRelay(components));
        listeners =
                components
                        .newListeners()
                        .add(settings.callerAddress().get(), callHandler)
                        .add(
                                settings.readinessAddress().get(),
                                Handlers.readiness(adapter, this::isReady))
                        .add(
                                settings.directoryAddress().get(),
                                Handlers.directory(
                                        adapter,
                                        new EntryDirectory(components.hostTable()),
                                        settings.directoryTimeToLive()))
                        .add(
                                settings.peerAddress(),
                                Handlers.byPath(
                                        messageHandlers(),
                                        new PeerHandler(new RelayService(components.channel()))))
                        .add(settings.metricsAddress(), metricsHandler())
                        .start();
    }

    /**
     * Starts an entry host. It registers once it has read a release and the endpoints.
     *
     * @throws IOException when the I/O threads cannot be created
     */
    public static EntryNode start(HostSettings settings, PlatformAdapter adapter)
            throws IOException {
        EntryNode node = new EntryNode(settings, adapter);
        node.startWatch();
        node.releaseComponents.start();
        node.registerWhenReady();
        return node;
    }

    private CallDependencies newCallDependencies() {
        return new CallDependencies(
                components.adapter().callHeaderNames(),
                releases,
                releaseComponents.guard(),
                endpoints,
                new EndpointPaths(reachability, newBreakTracer(), newForwardingHosts()),
                components.client(),
                new HistoryClient(
                        components.layouts(), newStorageRequestSender(), components.scheduler()),
                customerLimits.requester(),
                quarantine.quarantine(),
                newRequestMemory(),
                newResponseMemory(),
                components.metrics(),
                components.random());
    }

    private ServiceCapacity capacityOf(ServiceName service) {
        return new ServiceCapacity(
                endpoints.availableSlots(service, System.nanoTime()),
                releases.current().flatMap(Release::customers));
    }

    private HttpHandler metricsHandler() {
        HttpHandler listing = CustomerListing.handler(customerLimits.requester()::usage);
        return Handlers.byPath(
                HashMap.of(CustomerListing.PATH, listing), Handlers.metrics(components.metrics()));
    }

    /** Returns the handlers of the messages between entry hosts, by path. */
    private Map<String, HttpHandler> messageHandlers() {
        Map<String, HttpHandler> handlers =
                releaseComponents
                        .messageHandlers()
                        .merge(placement.messageHandlers())
                        .merge(quarantine.messageHandlers())
                        .put(ForwardHandler.PATH, forwardHandler)
                        .put(HttpPermitChannel.PATH, customerLimits.messageHandler());
        return changeRelay.fold(
                () -> handlers, relay -> handlers.put(HttpChangeSources.PATH, relay.handler()));
    }

    private MessageMemory newRequestMemory() {
        MessageMemory requestMemory = MessageMemory.ofRequests();
        components.metrics().observeRequestMemory(requestMemory::usedBytes);
        return requestMemory;
    }

    private MessageMemory newResponseMemory() {
        MessageMemory responseMemory = MessageMemory.ofResponses();
        components.metrics().observeResponseMemory(responseMemory::usedBytes);
        return responseMemory;
    }

    private StorageRequestSender newStorageRequestSender() {
        return new StorageRequestSender(
                components.settings().host(),
                components.channel(),
                components.hostTable(),
                components.scheduler(),
                components.random());
    }

    private BreakTracer newBreakTracer() {
        return new BreakTracer(
                endpoints,
                new PooledEndpointConnections(components.client()),
                components.eventLoop()::stoodStillSince,
                components.scheduler(),
                components.metrics());
    }

    private ForwardingHosts newForwardingHosts() {
        return new ForwardingHosts(
                components.settings().host(),
                components.settings().zone(),
                components.hostTable(),
                components.scheduler(),
                components.random());
    }

    private static EntryHost newSelf(HostSettings settings) {
        return new EntryHost(
                settings.host(),
                settings.callerAddress().get(),
                settings.zone(),
                settings.peerAddress(),
                settings.processorMillis());
    }

    /** Tells the other hosts, whose directories and forwarded calls depend on it. */
    private void onContactChanged(boolean reachesEndpoints) {
        registration.replaceValue(
                components.codec().encode(self.withReachesEndpoints(reachesEndpoints)));
    }

    private void startWatch() {
        SharedStateListener sharedStateListener =
                components.newSharedStateListener(
                        this::onLayout,
                        SharedKeys.entryHost(components.settings().host()),
                        registration);
        PrefixDispatcher dispatcher =
                new PrefixDispatcher()
                        .add(
                                components.adapter().operatorPrefix(),
                                new ReleaseListener(
                                        components.adapter(), releases, this::onReleaseConfirmed))
                        .add(components.adapter().endpointPrefix(), endpointListener)
                        .add(SharedKeys.ROOT, sharedStateListener)
                        .add(SharedKeys.QUARANTINES, quarantine.recordListener());
        changeRelay
                .peek(relay -> relay.startWatch(dispatcher))
                .onEmpty(() -> components.startWatch(dispatcher));
    }

    /** A source may have reached the service up to 1.5 s before its reply arrives here. */
    private void onReleaseConfirmed() {
        ReleaseConfirmation confirmation = releaseComponents.confirmation();
        changeRelay
                .peek(relay -> relay.confirmedAtNanos().forEach(confirmation::confirmAt))
                .onEmpty(confirmation::confirmNow);
    }

    private void onLayout(LayoutHolder.VersionedLayout versioned) {
        boolean adopted = components.layouts().adoptIfNewer(versioned);
        LOG.event("layout_read")
                .with("revision", versioned.revision())
                .with("adopted", adopted)
                .info();
    }

    private boolean isReady() {
        return !stopping.get() && releases.current().isDefined() && endpointListener.hasListing();
    }

    private void registerWhenReady() {
        if (stopping.get()) {
            return;
        }
        if (!isReady()) {
            components.scheduler().after(READY_CHECK_INTERVAL, this::registerWhenReady);
            return;
        }
        LOG.event("ready").with("endpoints", endpoints.size()).info();
        registration.start();
        customerLimits.start();
        reachability.start();
        quarantine.quarantine().start();
    }

    @Override
    public void stop() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        long stopRequestedAtNanos = System.nanoTime();
        StopSchedule schedule =
                new StopSchedule(
                        stopRequestedAtNanos,
                        components.settings().shutdownGrace(),
                        components
                                .settings()
                                .directoryTimeToLive()
                                .multipliedBy(ADDRESS_TTL_MULTIPLE));
        LOG.event("stopping").with("active_calls", callHandler.activeCalls()).info();
        customerLimits.resign();
        registration.stop();
        callHandler.startDraining(stopRequestedAtNanos, schedule);
        forwardHandler.startDraining();
        awaitQuiet(schedule, schedule.finalResponseNanos());
        if (!isQuiet(schedule)) {
            LOG.event("ending_calls").with("active_calls", callHandler.activeCalls()).info();
        }
        // Also on a quiet host: a call may arrive before its connection is closed.
        callHandler.endCalls();
        forwardHandler.endCalls();
        awaitQuiet(schedule, schedule.closeNanos());
        LOG.event("stopped").with("active_calls", callHandler.activeCalls()).info();
        listeners.stop();
        callHandler.logCutCalls();
        components.stop();
    }

    private void awaitQuiet(StopSchedule schedule, long untilNanos) {
        Duration timeout = Duration.ofNanos(untilNanos - System.nanoTime());
        PollingWait.until(() -> isQuiet(schedule), timeout);
    }

    private boolean isQuiet(StopSchedule schedule) {
        return callHandler.activeCalls() == 0
                && forwardHandler.activeCalls() == 0
                && System.nanoTime() - schedule.quietNanos(callHandler.lastCallNanos()) > 0;
    }
}
