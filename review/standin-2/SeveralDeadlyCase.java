package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Several requests that each crash every engine that runs them come again in the same time, each
 * from one client that sends one copy after the other. Without the disruption there is one of them.
 */
public final class SeveralDeadlyCase {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int ENGINES = 8;
    private static final int REQUESTS = Rig.TROUBLE ? 6 : 1;

    /** How long an engine works on such a request before it crashes. */
    private static final int WORK_MILLIS = 1_400;

    private static final int RESTART_MILLIS = 2_000;
    private static final int RUN_MILLIS = 60_000;

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
    private final List<Rig.HostProcess> hosts = new ArrayList<>();

    /** When engines began to run each of the requests, by body, in nanoseconds. */
    private final Map<String, List<Long>> runs = new ConcurrentHashMap<>();

    private final AtomicBoolean stop = new AtomicBoolean();

    private SeveralDeadlyCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.runCase(Path.of(arguments[0]), rig -> new SeveralDeadlyCase(rig).run());
    }

    private int run() throws Exception {
        rig.platform.put("op/config", CONFIG);
        for (int i = 1; i <= ENGINES; i++) {
            startEngine("i-" + i, Rig.freePort());
        }
        for (int i = 1; i <= 3; i++) {
            Rig.HostProcess host = rig.host("entry-" + i, true, "zone-" + i);
            hosts.add(host);
            host.start();
        }
        for (Rig.HostProcess host : hosts) {
            host.awaitReady(20_000);
        }
        Thread.sleep(CONTACT_MILLIS);
        List<Thread> threads = new ArrayList<>();
        threads.add(Thread.ofVirtual().start(this::soundTraffic));
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            threads.add(Thread.ofVirtual().start(() -> sendAgain(number)));
        }
        Thread.sleep(RUN_MILLIS);
        stop.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        int broken = 0;
        for (String body : new TreeMap<>(runs).keySet()) {
            long late = lateRuns(runs.get(body));
            rig.note(
                    "%s: %d runs, %d of them later than contactMs after the third crash",
                    body, runs.get(body).size(), late);
            broken += late > 3 ? 1 : 0;
        }
        return broken > 0 ? 1 : 0;
    }

    private static long lateRuns(List<Long> begins) {
        if (begins.size() < 3) {
            return 0;
        }
        long from = begins.get(2) + (WORK_MILLIS + CONTACT_MILLIS) * 1_000_000L;
        return begins.stream().filter(begin -> begin > from).count();
    }

    private void startEngine(String id, int port) throws IOException {
        rig.add(new Engine(rig, id, "ledger", port, this::serve)).register("zone-1");
    }

    private boolean serve(Engine engine, Rig.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        if (!body.startsWith("order")) {
            Thread.sleep(20);
            Engine.succeed(request, out);
            return true;
        }
        rig.note(
                "engine %s runs '%s' as %s",
                engine.id, body, request.header("X-Tamarackfold-Request-Id"));
        runs.computeIfAbsent(body, unused -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
        Thread.sleep(WORK_MILLIS);
        if (engine.crash()) {
            Thread.ofVirtual().start(() -> restart(engine));
        }
        return false;
    }

    private void restart(Engine crashed) {
        try {
            Thread.sleep(RESTART_MILLIS);
            if (!stop.get()) {
                startEngine(crashed.id, crashed.port);
            }
        } catch (IOException e) {
            rig.note("engine %s is not back: %s", crashed.id, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void soundTraffic() {
        int next = 0;
        while (!stop.get()) {
            Rig.HostProcess host = hosts.get(next++ % hosts.size());
            String id = Client.newId();
            try (Client client = new Client(host.callers)) {
                client.send("GET", "/view/" + id, id, 2_000, new byte[0]);
                client.receive(2_500);
            } catch (IOException e) {
                rig.note("view %s: %s", id, e);
            }
            BodiesCase.sleep(50);
        }
    }

    /** Sends a copy, waits for its answer and a second, and sends the next one to another host. */
    private void sendAgain(int number) {
        byte[] body = ("order " + number).getBytes(StandardCharsets.UTF_8);
        for (int copy = number; !stop.get(); copy++) {
            Rig.HostProcess host = hosts.get(copy % hosts.size());
            String id = Client.newId();
            try (Client client = new Client(host.callers)) {
                client.send("POST", "/submit/order", id, 6_000, body);
                Rig.Message answer = client.receive(8_000);
                rig.note(
                        "order %d as %s at %s: %s",
                        number, id, host.name, answer == null ? "closed" : answer.startLine());
            } catch (IOException e) {
                rig.note("order %d as %s at %s: %s", number, id, host.name, e);
            }
            BodiesCase.sleep(1_000);
        }
    }
}
