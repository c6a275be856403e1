import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Processes of hosts, started with the command of the deploy file. */
final class Hosts implements AutoCloseable {
    static final class Host {
        final String name;
        final boolean entry;
        final Path settings;
        final int callers, readiness, directory, peers, metrics;
        Process process;

        Host(String name, boolean entry, Path folder) {
            this.name = name;
            this.entry = entry;
            settings = folder.resolve(name + ".toml");
            callers = Ports.free();
            readiness = Ports.free();
            directory = Ports.free();
            peers = Ports.free();
            metrics = Ports.free();
        }
    }

    final List<Host> all = new ArrayList<>();
    private final Path folder;
    private final int store;
    private final Set<Host> stopped = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Hosts(Path folder, int storePort) {
        this.folder = folder;
        this.store = storePort;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Host add(String name, String zone, boolean entry) throws IOException {
        Host host = new Host(name, entry, folder);
        String template = Files.readString(Path.of("deploy", entry ? "entry.toml.template" : "storage.toml.template"));
        Path data = folder.resolve(name + "-data");
        Map<String, String> values = new LinkedHashMap<>();
        values.put("nodeName", name);
        values.put("zone", zone);
        values.put("limits.cpuQuota", "0.75");
        values.put("limits.diskMb", "330");
        values.put("listenersMap.frontend", "127.0.0.1:" + host.callers);
        values.put("listenersMap.readiness", "127.0.0.1:" + host.readiness);
        values.put("listenersMap.directory", "127.0.0.1:" + host.directory);
        values.put("ip}}:{{internalPortRange.0", "127.0.0.1:" + host.peers);
        values.put("ip}}:{{internalPortRange.1", "127.0.0.1:" + host.metrics);
        values.put("platform.address", "127.0.0.1:" + store);
        values.put("platform.ttlMinMs", "1000");
        values.put("faultTolerance.machines", "1");
        values.put("bounds.graceS", "8");
        values.put("bounds.contactMs", "3000");
        values.put("bounds.configApplyMs", "2000");
        values.put("bounds.drainMs", "2000");
        values.put("dataDir", data.toString());
        for (var value : values.entrySet()) {
            template = template.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (template.contains("{{")) {
            throw new IOException("unknown placeholder: " + template);
        }
        Files.writeString(host.settings, template);
        Files.createDirectories(data);
        all.add(host);
        return host;
    }

    synchronized void start(Host host) throws IOException {
        if (closed) {
            return;
        }
        String role = host.entry ? "entry" : "storage";
        String run = "";
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.environment().clear();
        builder.environment().put("TAMARACKFOLD_CONFIG", host.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(host.name + ".log").toFile()));
        host.process = builder.start();
    }

    /**
     * Starts each process that has ended again after half a second, as the platform does, except
     * those in {@link #hold}.
     */
    void restartEnded(Records records) {
        Thread.ofPlatform()
                .daemon()
                .start(
                        () -> {
                            try {
                                while (!closed) {
                                    Thread.sleep(500);
                                    for (Host host : all) {
                                        if (!closed && !host.process.isAlive() && !stopped.contains(host)) {
                                            records.say(host.name + " ended with status " + host.process.exitValue() + ", is started again");
                                            start(host);
                                        }
                                    }
                                }
                            } catch (IOException | InterruptedException e) {
                                records.say("no restarts any more: " + e);
                            }
                        });
    }

    /** Leaves a process that ends as it is until {@link #release}. */
    void hold(Host host) {
        stopped.add(host);
    }

    void release(Host host) {
        stopped.remove(host);
    }

    List<Host> entries() {
        return all.stream().filter(host -> host.entry).toList();
    }

    List<Host> stores() {
        return all.stream().filter(host -> !host.entry).toList();
    }

    /** Starts all hosts; returns whether all entry hosts have become ready. */
    boolean startAll(Records records) throws IOException, InterruptedException {
        for (Host host : all) {
            start(host);
        }
        for (Host entry : entries()) {
            if (!awaitReady(entry, 10)) {
                records.say(entry.name + " isn't ready");
                return false;
            }
        }
        return true;
    }

    /** Waits until an entry host answers that it is ready. */
    boolean awaitReady(Host host, double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (isReady(host)) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    static boolean isReady(Host host) {
        return Client.get(host.readiness, "/-/ready", 1_000).startsWith("HTTP/1.1 200");
    }

    void signal(Host host, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(host.process.pid())).start().waitFor();
    }

    @Override
    public synchronized void close() {
        closed = true;
        for (Host host : all) {
            if (host.process != null) {
                host.process.destroyForcibly();
            }
        }
        for (Host host : all) {
            try {
                if (host.process != null) {
                    host.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
