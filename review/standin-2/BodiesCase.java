package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send bodies of the allowed size at once, beside clients on kept connections. */
public final class BodiesCase {
    private static final int BODY_BYTES = 4 * 1024 * 1024;

    private BodiesCase() {}

    static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-1","host":"fleet.example","prefix":"/submit/",\
            "type":"unsafe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,\
            "service":"ledger","maxAttempts":1},{"name":"r-2","host":"fleet.example",\
            "prefix":"/view/","type":"safe","timeoutMs":2000,"targetLatencyMs":400,"priority":2,\
            "service":"ledger","maxAttempts":3}],"services":[{"name":"ledger",\
            "healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000}}""";

    public static void main(String[] arguments) throws Exception {
        int uploads = Integer.parseInt(System.getProperty("uploads", "24"));
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            rig.platform.put("op/config", CONFIG);
            for (int i = 1; i <= 4; i++) {
                rig.add(new Engine(rig, "i-" + i, "ledger", (engine, request, out) -> {
                    Thread.sleep(200);
                    Engine.succeed(request, out);
                    return true;
                })).register("zone-a");
            }
            Rig.HostProcess host = rig.host("entry-1", true, "zone-a");
            host.start();
            host.awaitReady(20_000);
            Thread.sleep(1_000);
            AtomicBoolean stop = new AtomicBoolean();
            Map<String, AtomicInteger> seen = new ConcurrentHashMap<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                threads.add(Thread.ofVirtual().start(() -> keep(rig, host, stop, seen)));
            }
            Thread.sleep(3_000);
            if (Rig.TROUBLE) {
                CountDownLatch done = new CountDownLatch(uploads);
                for (int i = 0; i < uploads; i++) {
                    Thread.ofVirtual().start(() -> {
                        upload(rig, host, seen);
                        done.countDown();
                    });
                }
                done.await();
            }
            Thread.sleep(4_000);
            stop.set(true);
            for (Thread thread : threads) {
                thread.join();
            }
            rig.note("seen %s alive %s ready %s", new TreeMap<>(seen), host.isAlive(), host.isReady());
            for (String line : host.logLines("OutOfMemory")) {
                rig.note("log %s", line);
            }
        }
    }

    static void count(Map<String, AtomicInteger> seen, String what) {
        seen.computeIfAbsent(what, unused -> new AtomicInteger()).incrementAndGet();
    }

    private static void keep(Rig rig, Rig.HostProcess host, AtomicBoolean stop, Map<String, AtomicInteger> seen) {
        while (!stop.get()) {
            try (Client client = new Client(host.callers)) {
                while (!stop.get()) {
                    String id = Client.newId();
                    client.send("GET", "/view/" + id, id, 2_000, new byte[0]);
                    Rig.Message answer = client.receive(3_000);
                    if (answer == null) {
                        rig.note("request %s: connection closed without an answer", id);
                        count(seen, "kept closed");
                        break;
                    }
                    count(seen, "kept " + answer.status());
                }
            } catch (IOException e) {
                rig.note("kept connection: %s", e);
                count(seen, "kept " + e.getClass().getSimpleName());
                sleep(200);
            }
        }
    }

    private static void upload(Rig rig, Rig.HostProcess host, Map<String, AtomicInteger> seen) {
        String id = Client.newId();
        try (Client client = new Client(host.callers)) {
            client.send("POST", "/submit/" + id, id, 6_000, new byte[BODY_BYTES]);
            Rig.Message answer = client.receive(8_000);
            rig.note("upload %s: %s", id, answer == null ? "closed" : answer.startLine());
            count(seen, "upload " + (answer == null ? "closed" : answer.status()));
        } catch (IOException e) {
            rig.note("upload %s: %s", id, e);
            count(seen, "upload " + e.getClass().getSimpleName());
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
