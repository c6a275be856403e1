package org.tamarackfold.daemon.soak.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.daemon.soak.CallKind;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.KeyTable;
import org.tamarackfold.platform.standin.PlatformDocuments;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;

/**
 * Caller that sends one request which crashes endpoints again and again, with a new id each time
 * and to any entry host, as a caller does that gets no answer.
 */
public final class CrashingCaller implements Runnable {
    private static final CallHeaderNames NAMES = PlatformDocuments.ADAPTER.callHeaderNames();
    private static final HttpString POST = new HttpString("POST");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final long DEADLINE_MILLIS = 4_000;
    private static final int MAXIMUM_PAUSE_MILLIS = 500;

    private final IoRuntime runtime;
    private final PooledHttpClient client;
    private final CallKind kind;
    private final String name;
    private final Customer customer;
    private final KeyTable keys;
    private final Vector<EntryHost> hosts;
    private final Random random;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private int count;

    /** Creates a caller whose request is of a kind; the seed decides hosts and pauses. */
    public CrashingCaller(
            IoRuntime runtime,
            CallKind kind,
            Customer customer,
            KeyTable keys,
            Iterable<EntryHost> hosts,
            long seed) {
        this.runtime = runtime;
        this.client = new PooledHttpClient(runtime, IDLE_TIMEOUT.toNanos());
        this.kind = kind;
        this.name = "crash-" + kind.route();
        this.customer = customer;
        this.keys = keys;
        this.hosts = Vector.ofAll(hosts);
        this.random = new Random(seed);
    }

    /** Makes the caller end after its present request. */
    public void stop() {
        stopping.set(true);
    }

    @Override
    public void run() {
        try {
            while (!stopping.get()) {
                send(hosts.get(random.nextInt(hosts.size())));
                Thread.sleep(random.nextInt(MAXIMUM_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(EntryHost host) throws InterruptedException {
        Reception reception = Reception.start(runtime, client, request(host), Duration.ZERO);
        try {
            reception.await(DEADLINE_MILLIS);
        } catch (TimeoutException e) {
            // No answer is expected; the next attempt follows as after an error.
            return;
        }
    }

    private HttpRequest request(EntryHost host) {
        HeaderMap headers = new HeaderMap();
        String attempt = name + "-" + ++count;
        headers.put(NAMES.callId(), attempt);
        headers.put(NAMES.deadline(), DEADLINE_MILLIS);
        Option<String> key = keys.pick(customer, random);
        key.forEach(value -> headers.put(Headers.AUTHORIZATION, "Bearer " + value));
        if (kind.isTurn()) {
            headers.put(NAMES.program(), attempt);
            headers.put(NAMES.session(), attempt);
            headers.put(NAMES.tokenBudget(), 1_000);
            headers.put(NAMES.tokenUsage(), "10,10");
        }
        return HttpRequest.builder()
                .address(host.proxy().address())
                .method(POST)
                .path("/%s/%s".formatted(kind.route(), name))
                .headers(headers)
                .body((StandInEndpoint.CRASHING + name).getBytes(StandardCharsets.UTF_8))
                .connectTimeout(CONNECT_TIMEOUT)
                .withoutResponseTimeout()
                .build();
    }
}
