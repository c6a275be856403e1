package org.tamarackfold.daemon.soak.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.daemon.soak.BodyDigest;
import org.tamarackfold.daemon.soak.CrashChecks;
import org.tamarackfold.daemon.soak.CustomerChecks;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.platform.standin.PlatformDocuments;

/** Endpoint that runs calls as their headers ask, and records each run in the ledger. */
public final class StandInEndpoint implements AutoCloseable {
    /** Number of events of the stream to send; absent for a plain answer. */
    static final HttpString EVENTS = new HttpString("Soak-Events");

    /** Begin of the bodies of requests that crash an endpoint which runs them. */
    static final String CRASHING = "crash ";

    /** Time from the start of a run to the crash, in milliseconds. */
    private static final long CRASH_DELAY_MILLIS = 100;

    /** Pause before the answer and between events, in milliseconds. */
    static final HttpString PAUSE = new HttpString("Soak-Pause-Ms");

    /** Bytes by which an answer or each event is larger than usual. */
    static final HttpString PADDING = new HttpString("Soak-Padding-Bytes");

    static final HttpString LAST_EVENT = new HttpString("Last-Event-Id");

    private static final CallHeaderNames NAMES = PlatformDocuments.ADAPTER.callHeaderNames();
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private static final AtomicInteger NEXT_RUN = new AtomicInteger();

    private final EndpointId id;
    private final EndpointProfile profile;
    private final Ledger ledger;
    private final CustomerChecks customers;
    private final CrashChecks crashes;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicBoolean crashed = new AtomicBoolean();
    private final BiConsumer<String, StandInEndpoint> onCrash;
    private final Undertow server;
    private final LoopbackProxy proxy;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private volatile long drainingSinceNanos;
    private volatile boolean leaving;

    /**
     * Starts an endpoint at an address, with a proxy in front of it.
     *
     * @param onCrash ends the endpoint, which a request has crashed; called with its body
     */
    public StandInEndpoint(
            EndpointId id,
            EndpointProfile profile,
            Address address,
            Ledger ledger,
            CustomerChecks customers,
            CrashChecks crashes,
            BiConsumer<String, StandInEndpoint> onCrash)
            throws IOException {
        this.id = id;
        this.profile = profile;
        this.ledger = ledger;
        this.customers = customers;
        this.crashes = crashes;
        this.onCrash = onCrash;
        server =
                Undertow.builder()
                        .addHttpListener(address.port(), address.ip())
                        .setIoThreads(1)
                        // The default of 2 MB is below the size of large bodies.
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                        .setWorkerThreads(1)
                        .setHandler(this::dispatch)
                        .build();
        server.start();
        proxy = new LoopbackProxy(address);
    }

    public EndpointId id() {
        return id;
    }

    public EndpointProfile profile() {
        return profile;
    }

    /** Returns the proxy, whose address is the registered one. */
    public LoopbackProxy proxy() {
        return proxy;
    }

    public int running() {
        return running.get();
    }

    /** From now on, states in all responses to calls that this endpoint leaves. */
    public void setLeaving() {
        leaving = true;
    }

    /** Returns the endpoint that has set a signature. */
    static EndpointId endpointOf(String signature) {
        return new EndpointId(signature.substring(0, signature.lastIndexOf('-')));
    }

    /** Sets when the key-value service has acknowledged that the endpoint is draining or gone. */
    public void setDraining() {
        drainingSinceNanos = System.nanoTime();
    }

    @Override
    public void close() throws IOException {
        proxy.close();
        server.stop();
        workers.shutdownNow();
    }

    private void dispatch(HttpServerExchange exchange) {
        exchange.dispatch(workers, new BlockingHandler(this::handle)::handleRequest);
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        String expected = exchange.getRequestHeaders().getFirst(NAMES.expectedEndpoint());
        if (expected != null && !expected.equals(id.value())) {
            reject(exchange, MISDIRECTED);
            return;
        }
        if (running.incrementAndGet() > profile.slots()) {
            running.decrementAndGet();
            reject(exchange, UNAVAILABLE);
            return;
        }
        try {
            run(exchange);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Rejects a call with its id, without which hosts trust no response on a reused connection. */
    private static void reject(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders()
                .put(NAMES.notRun(), "1")
                .put(NAMES.callId(), exchange.getRequestHeaders().getFirst(NAMES.callId()));
        exchange.endExchange();
    }

    private void run(HttpServerExchange exchange) throws IOException {
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (body.startsWith(CRASHING)) {
            crash(body);
            return;
        }
        CallId call = new CallId(exchange.getRequestHeaders().getFirst(NAMES.callId()));
        String signature = id + "-" + NEXT_RUN.incrementAndGet();
        String answer = call + " " + signature + " " + padding(exchange, call);
        ledger.runBegins(call, signature, BodyDigest.of(body), BodyDigest.of(answer), id);
        customers.runBegins(
                call,
                id,
                exchange.getRequestHeaders().getFirst(NAMES.customer()),
                exchange.getRequestHeaders().contains(Headers.AUTHORIZATION),
                System.nanoTime());
        if (drainingSinceNanos != 0) {
            ledger.arrivesWhileDraining(call, id, drainingSinceNanos);
        }
        exchange.getResponseHeaders()
                .put(NAMES.callId(), call.value())
                .put(PlatformDocuments.SIGNATURE, signature);
        if (leaving) {
            exchange.getResponseHeaders().put(NAMES.leaving(), "1");
        }
        int events = (int) number(exchange, EVENTS);
        try {
            if (events == 0) {
                Thread.sleep(durationMillis(exchange));
                exchange.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                exchange.getOutputStream().close();
            } else {
                stream(exchange, call, signature, events);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ledger.runEnds(call);
        }
    }

    /** Ends this endpoint once; other calls that run here end with it. */
    private void crash(String request) {
        crashes.runBegins(request, id, System.nanoTime());
        try {
            Thread.sleep(CRASH_DELAY_MILLIS);
            if (crashed.compareAndSet(false, true)) {
                crashes.crashed(request, id, System.nanoTime());
                onCrash.accept(request, this);
            }
            // An exchange that ends here would be answered before the connections are reset.
            Thread.sleep(Long.MAX_VALUE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how long the next step of a run takes, in milliseconds. */
    private long durationMillis(HttpServerExchange exchange) {
        long phaseNanos = id.hashCode() * 1_000_000L;
        return profile.durationMillis(number(exchange, PAUSE), System.nanoTime(), phaseNanos);
    }

    private static String padding(HttpServerExchange exchange, CallId call) {
        return "x".repeat((call.hashCode() & 0xfff) + (int) number(exchange, PADDING));
    }

    private void stream(HttpServerExchange exchange, CallId call, String signature, int events)
            throws IOException, InterruptedException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream output = exchange.getOutputStream();
        for (long number = number(exchange, LAST_EVENT) + 1; number <= events; number++) {
            Thread.sleep(durationMillis(exchange));
            StreamEvent event = new StreamEvent(call, number, profile.softwareVersion(), signature);
            output.write(comment((int) number(exchange, PADDING)));
            output.write(event.encode().getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
        output.close();
    }

    /** Returns a comment, which callers leave out, of about a length; nothing for length 0. */
    private static byte[] comment(int length) {
        String text = length == 0 ? "" : ": " + "z".repeat(length) + "\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static long number(HttpServerExchange exchange, HttpString header) {
        String value = exchange.getRequestHeaders().getFirst(header);
        return value == null ? 0 : Long.parseLong(value);
    }
}
