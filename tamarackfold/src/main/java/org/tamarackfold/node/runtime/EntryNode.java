package org.tamarackfold.node.runtime;

import io.undertow.Undertow;
import java.io.IOException;
import java.time.Duration;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.caller.http.CallContext;
import org.tamarackfold.caller.http.CallHandler;
import org.tamarackfold.endpoint.EndpointRegistry;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.node.EntryDirectory;
import org.tamarackfold.operator.ReleaseBook;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HistoryClient;
import org.tamarackfold.peer.LayoutBook;
import org.tamarackfold.peer.PeerRoutes;
import org.tamarackfold.peer.RelayService;
import org.tamarackfold.peer.SharedKeys;
import org.tamarackfold.peer.SharedStateListener;
import org.tamarackfold.peer.http.PeerHandler;
import org.tamarackfold.settings.HostSettings;

/** An entry host: takes the calls of callers and runs them at endpoints. */
public final class EntryNode implements Host {
    private static final StructuredLog LOG = StructuredLog.of("entry");

    /** Pause between two checks whether the host may register. */
    private static final Duration READY_CHECK = Duration.ofMillis(50);

    /** Callers keep addresses for up to this many times their time to live. */
    private static final int ADDRESS_REUSE = 3;

    /** Left of the grace time for the end of the process itself. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    /** Quiet time after which a stopping host expects no more calls. */
    private static final Duration QUIET = Duration.ofMillis(1_200);

    private final HostParts parts;
    private final ReleaseBook releases = new ReleaseBook();
    private final EndpointTable endpoints;
    private final EndpointListener endpointListener;
    private final LeasedKey registration;
    private final CallHandler calls;
    private final Undertow server;
    private volatile boolean stopping;

    private EntryNode(HostSettings settings, PlatformAdapter adapter) throws IOException {
        parts = new HostParts(settings, adapter);
        endpoints = new EndpointTable(settings.zone(), parts.random());
        EndpointRegistry registry = new EndpointRegistry(endpoints, parts.scheduler());
        endpointListener = new EndpointListener(adapter, registry);
        calls = new CallHandler(callContext());
        registration = registration(settings);
        server =
                new Listeners(parts.runtime())
                        .add(settings.callers().get(), calls)
                        .add(settings.readiness().get(), Handlers.readiness(adapter, this::isReady))
                        .add(
                                settings.directory().get(),
                                Handlers.directory(
                                        adapter,
                                        new EntryDirectory(parts.members()),
                                        settings.directoryTimeToLive()))
                        .add(settings.peers(), new PeerHandler(new RelayService(parts.channel())))
                        .add(settings.metrics(), Handlers.metrics(parts.metrics()))
                        .start();
    }

    /** Starts an entry host. */
    public static EntryNode start(HostSettings settings, PlatformAdapter adapter)
            throws IOException {
        EntryNode node = new EntryNode(settings, adapter);
        node.watch();
        node.registerWhenReady();
        return node;
    }

    private CallContext callContext() {
        return new CallContext(
                parts.adapter().callHeaders(),
                releases,
                endpoints,
                parts.client(),
                new HistoryClient(parts.layouts(), routes(), parts.scheduler()),
                parts.metrics(),
                parts.random());
    }

    private PeerRoutes routes() {
        return new PeerRoutes(
                parts.settings().host(),
                parts.channel(),
                parts.members(),
                parts.scheduler(),
                parts.random());
    }

    private LeasedKey registration(HostSettings settings) {
        EntryHost self =
                new EntryHost(
                        settings.host(),
                        settings.callers().get(),
                        settings.zone(),
                        settings.peers());
        return parts.registration(
                SharedKeys.entryHost(settings.host()), parts.codec().encode(self));
    }

    private void watch() {
        SharedStateListener sharedState =
                parts.sharedState(
                        this::layoutRead,
                        SharedKeys.entryHost(parts.settings().host()),
                        registration);
        parts.watch(
                new PrefixDispatcher()
                        .add(
                                parts.adapter().operatorPrefix(),
                                new ReleaseListener(parts.adapter(), releases))
                        .add(parts.adapter().endpointPrefix(), endpointListener)
                        .add(SharedKeys.ROOT, sharedState));
    }

    private void layoutRead(LayoutBook.Stored stored) {
        boolean later = parts.layouts().offer(stored);
        LOG.event("layout").with("revision", stored.revision()).with("adopted", later).info();
    }

    private boolean isReady() {
        return !stopping && releases.current().isDefined() && endpointListener.isListed();
    }

    private void registerWhenReady() {
        if (stopping) {
            return;
        }
        if (!isReady()) {
            parts.scheduler().after(READY_CHECK, this::registerWhenReady);
            return;
        }
        LOG.event("ready").with("endpoints", endpoints.size()).info();
        registration.start();
    }

    @Override
    public void stop() {
        long startedAt = System.nanoTime();
        stopping = true;
        LOG.event("stopping").with("active_calls", calls.activeCalls()).info();
        registration.stop();
        calls.startDraining();
        Duration reuse = parts.settings().directoryTimeToLive().multipliedBy(ADDRESS_REUSE);
        Duration limit = parts.settings().shutdownGrace().minus(STOP_MARGIN);
        StopWait.until(() -> isQuiet(startedAt + reuse.toNanos()), limit);
        LOG.event("stopped").with("active_calls", calls.activeCalls()).info();
        server.stop();
    }

    private boolean isQuiet(long earliest) {
        long now = System.nanoTime();
        return now - earliest > 0
                && calls.activeCalls() == 0
                && now - calls.lastCallNanos() > QUIET.toNanos();
    }
}
