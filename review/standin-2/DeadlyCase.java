package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request that crashes each engine that runs it comes again after a disruption: its route has
 * moved to another service, or the leases of the store have run out in an outage and all entry hosts
 * were killed at once.
 */
public final class DeadlyCase {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int ENGINES = 8;
    private static final int COPIES = 6;
    private static final byte[] BODY = "order 4711".getBytes();

    private final Rig rig;
    private final List<Rig.HostProcess> hosts = new ArrayList<>();

    /** When an engine began to run the request, in nanoseconds. */
    private final List<Long> runs = new CopyOnWriteArrayList<>();

    private final AtomicBoolean stop = new AtomicBoolean();

    private final String disruption;

    private DeadlyCase(Rig rig, String disruption) {
        this.rig = rig;
        this.disruption = disruption;
    }

    public static void main(String[] arguments) {
        Path folder = Path.of(arguments[0]);
        Rig.runCase(folder, rig -> new DeadlyCase(rig, arguments[1]).run());
    }

    private int run() throws Exception {
        rig.platform.put("op/config", config(7, "app-1"));
        for (int i = 1; i <= ENGINES; i++) {
            startEngine("i-" + i, "app-1", Rig.freePort());
            startEngine("j-" + i, "app-2", Rig.freePort());
        }
        for (int i = 1; i <= 3; i++) {
            Rig.HostProcess host = rig.host("entry-" + i, true, "zone-" + i);
            hosts.add(host);
            host.start();
        }
        for (Rig.HostProcess host : hosts) {
            host.awaitReady(20_000);
        }
        Thread.sleep(2_000);
        Thread traffic = Thread.ofVirtual().start(this::soundTraffic);
        Thread.sleep(1_000);
        for (int copy = 0; runs.size() < 3 && copy < 30; copy++) {
            send(hosts.get(copy % hosts.size()));
            Thread.sleep(1_000);
        }
        if (runs.size() < 3) {
            rig.note("the request did not run three times");
            return 2;
        }
        long thirdNanos = runs.get(2);
        Thread.sleep(CONTACT_MILLIS);
        for (int copy = 0; copy < 3; copy++) {
            send(hosts.get(copy));
        }
        for (int wait = 0; rig.platform.keysWith("quarantine").isEmpty() && wait < 100; wait++) {
            Thread.sleep(100);
        }
        rig.note("records in the store: %s", rig.platform.keysWith("quarantine"));
        switch (disruption) {
            case "lapse" -> lapseAndRestart();
            case "move" -> moveRoute();
            default -> throw new IllegalArgumentException(disruption);
        }
        Thread.sleep(CONTACT_MILLIS + 1_000);
        List<Thread> copies = new ArrayList<>();
        for (int copy = 0; copy < COPIES; copy++) {
            Rig.HostProcess host = hosts.get(copy % hosts.size());
            copies.add(Thread.ofVirtual().start(() -> send(host)));
        }
        for (Thread copy : copies) {
            copy.join();
        }
        Thread.sleep(1_000);
        stop.set(true);
        traffic.join();
        long late =
                runs.stream()
                        .filter(at -> at - thirdNanos > CONTACT_MILLIS * 1_000_000L)
                        .count();
        rig.note("%d runs, %d of them later than contactMs after the third", runs.size(), late);
        return late > 3 ? 1 : 0;
    }

    /** The leases run out while the store is down; then all entry hosts are killed at once. */
    private void lapseAndRestart() throws Exception {
        if (!Rig.TROUBLE) {
            Thread.sleep(14_000);
            return;
        }
        rig.note("the store is down, and leases run out");
        rig.platform.setDown(true, true);
        Thread.sleep(4_500);
        rig.platform.setDown(false, false);
        rig.note("the store is back");
        Thread.sleep(8_000);
        rig.note("records in the store: %s", rig.platform.keysWith("quarantine"));
        for (Rig.HostProcess host : hosts) {
            host.signal("KILL");
        }
        for (Rig.HostProcess host : hosts) {
            host.awaitEnd(2_000);
            host.start();
        }
        for (Rig.HostProcess host : hosts) {
            host.awaitReady(20_000);
        }
    }

    /** A new version of the configuration moves the route to another service. */
    private void moveRoute() throws Exception {
        if (Rig.TROUBLE) {
            rig.platform.put("op/config", config(9, "app-2"));
            rig.note("the store has acknowledged version 9, which moves the route");
        }
        Thread.sleep(2_000);
    }

    private static String config(int version, String submitService) {
        return """
                {"version":%d,"routes":[{"name":"r-1","host":"fleet.example","prefix":"/submit/",\
                "type":"unsafe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,\
                "service":"%s","maxAttempts":1},{"name":"r-2","host":"fleet.example",\
                "prefix":"/view/","type":"safe","timeoutMs":2000,"targetLatencyMs":400,\
                "priority":2,"service":"app-1","maxAttempts":3}],"services":[{"name":"app-1",\
                "healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false},\
                {"name":"app-2","healthPath":"/healthz","maxConnections":96,"protocol":"h1",\
                "tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,\
                "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
                .formatted(version, submitService);
    }

    private void startEngine(String id, String service, int port) throws IOException {
        rig.add(new Engine(rig, id, service, port, this::serve)).register("zone-1");
    }

    private boolean serve(Engine engine, Rig.Message request, OutputStream out)
            throws IOException, InterruptedException {
        if (!java.util.Arrays.equals(request.body(), BODY)) {
            Thread.sleep(20);
            Engine.succeed(request, out);
            return true;
        }
        String call = request.header("X-Tamarackfold-Request-Id");
        rig.note("engine %s runs the deadly request as %s", engine.id, call);
        runs.add(System.nanoTime());
        Thread.sleep(150);
        if (engine.crash()) {
            Thread.ofVirtual().start(() -> restart(engine));
        }
        return false;
    }

    private void restart(Engine crashed) {
        try {
            Thread.sleep(2_000);
            if (!stop.get()) {
                startEngine(crashed.id, crashed.service, crashed.port);
                rig.note("engine %s is back", crashed.id);
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
                BodiesCase.sleep(100);
            }
            BodiesCase.sleep(50);
        }
    }

    private void send(Rig.HostProcess host) {
        String id = Client.newId();
        try (Client client = new Client(host.callers)) {
            client.send("POST", "/submit/order", id, 6_000, BODY);
            Rig.Message answer = client.receive(8_000);
            rig.note(
                    "deadly %s at %s: %s %s",
                    id,
                    host.name,
                    answer == null ? "closed" : answer.startLine(),
                    answer == null ? "" : new String(answer.body()).trim());
        } catch (IOException e) {
            rig.note("deadly %s at %s: %s", id, host.name, e);
        }
    }
}
