package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * More users come at once: each sends one request whose body is as large as the configuration
 * allows, beside the clients that are there already and send small requests on kept connections.
 */
public final class BodiesCase {
    private static final int BODY_BYTES = 4_194_304;
    private static final int VIEW_TIMEOUT_MILLIS = 2_000;
    private static final int SUBMIT_TIMEOUT_MILLIS = 6_000;
    private static final int STEADY_CLIENTS = 20;

    /** With them, 2.3 times as many clients send at once. */
    private static final int MORE_CLIENTS = 26;

    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-1","host":"fleet.example","prefix":"/submit/",\
            "type":"unsafe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,\
            "service":"ledger","maxAttempts":1},{"name":"r-2","host":"fleet.example",\
            "prefix":"/view/","type":"safe","timeoutMs":2000,"targetLatencyMs":400,"priority":2,\
            "service":"ledger","maxAttempts":3}],"services":[{"name":"ledger",\
            "healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000}}""";

    private final Rig rig;
    private final List<Sent> requests = new CopyOnWriteArrayList<>();
    private final AtomicBoolean stop = new AtomicBoolean();
    private Rig.HostProcess host;

    /** A request of which the last byte was sent, and how long its answer took. */
    private record Sent(String id, int timeoutMillis, long answeredAfterMillis) {}

    private BodiesCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.runCase(Path.of(arguments[0]), rig -> new BodiesCase(rig).run());
    }

    private int run() throws Exception {
        rig.platform.put("op/config", CONFIG);
        for (int i = 1; i <= 8; i++) {
            rig.add(
                            new Engine(
                                    rig,
                                    "i-" + i,
                                    "ledger",
                                    (engine, request, out) -> {
                                        rig.note(
                                                "engine %s runs %s",
                                                engine.id,
                                                request.header("X-Tamarackfold-Request-Id"));
                                        Thread.sleep(100);
                                        Engine.succeed(request, out);
                                        return true;
                                    }))
                    .register("zone-1");
        }
        host = rig.host("entry-1", true, "zone-1");
        host.start();
        host.awaitReady(20_000);
        Thread.sleep(1_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STEADY_CLIENTS; i++) {
            threads.add(Thread.ofVirtual().start(this::sendSteadily));
        }
        Thread.sleep(5_000);
        if (Rig.TROUBLE) {
            rig.note("%d more clients come", MORE_CLIENTS);
            for (int i = 0; i < MORE_CLIENTS; i++) {
                threads.add(Thread.ofVirtual().start(this::sendLarge));
            }
        }
        Thread.sleep(12_000);
        stop.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        for (String line : host.logLines("OutOfMemoryError")) {
            rig.note("log of the host: %s", line.substring(0, Math.min(200, line.length())));
        }
        long unanswered =
                requests.stream().filter(r -> r.answeredAfterMillis() > r.timeoutMillis()).count();
        long late =
                requests.stream()
                        .filter(r -> r.answeredAfterMillis() > r.timeoutMillis() + 500)
                        .count();
        rig.note(
                "%d requests, %d unanswered at their timeoutMs, %d of them half a second later",
                requests.size(), unanswered, late);
        return 2 * late > unanswered ? 1 : 0;
    }

    private void sendSteadily() {
        while (!stop.get()) {
            try (Client client = new Client(host.callers)) {
                while (!stop.get()) {
                    String id = Client.newId();
                    client.send("GET", "/view/" + id, id, 4_000, new byte[0]);
                    String seen = await(client, id, VIEW_TIMEOUT_MILLIS);
                    rig.note("view %s: %s", id, seen);
                    if (!seen.startsWith("HTTP/1.1 200")) {
                        break;
                    }
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                rig.note("view: %s", e);
                sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendLarge() {
        String id = Client.newId();
        try (Client client = new Client(host.callers)) {
            client.send("POST", "/submit/" + id, id, 8_000, new byte[BODY_BYTES]);
            rig.note("submit %s: %s", id, await(client, id, SUBMIT_TIMEOUT_MILLIS));
        } catch (IOException e) {
            rig.note("submit %s: %s", id, e);
        }
    }

    /** Waits for the answer for a second longer than the route allows, and notes its time. */
    private String await(Client client, String id, int timeoutMillis) {
        long sentNanos = System.nanoTime();
        String seen;
        try {
            Rig.Message answer = client.receive(timeoutMillis + 1_000);
            seen = answer == null ? "closed" : answer.startLine();
        } catch (IOException e) {
            seen = e.toString();
        }
        long millis = (System.nanoTime() - sentNanos) / 1_000_000;
        requests.add(new Sent(id, timeoutMillis, millis));
        return seen + " after " + millis + " ms";
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
