package review2;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: a key-value service, entry and storage hosts as processes with
 * the commands of the deploy file, and a record of what was seen.
 */
public final class Rig implements AutoCloseable {
    /** Whether the case is to bring its disruption about. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<HostProcess> hosts = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();
    public final Platform platform;

    /** Creates the rig; the record goes to record.txt in the folder of the case. */
    public Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        platform = new Platform(freePort());
        note("trouble=%s", TROUBLE);
    }

    /** A case that runs in a rig; returns 1 if the rule was broken, 0 if it held. */
    public interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and ends this process: with status 2 when the case could not run. */
    public static void runCase(Path caseFolder, Case body) {
        int status;
        try (Rig rig = new Rig(caseFolder)) {
            status = runIn(rig, body);
            rig.note("result %d", status);
        } catch (Exception e) {
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    private static int runIn(Rig rig, Case body) {
        try {
            return body.run(rig);
        } catch (Exception e) {
            rig.note("the case could not run: %s", e);
            return 2;
        }
    }

    /** Writes a line to the record, with the milliseconds since the start. */
    public synchronized void note(String format, Object... arguments) {
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        record.println("%7d %s".formatted(millis, format.formatted(arguments)));
    }

    public Path folder() {
        return folder;
    }

    /** Below the ports that the kernel gives to outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORT_SPAN = 18_000;
    private static int nextPort = (int) (ProcessHandle.current().pid() * 97 % PORT_SPAN);

    /** Returns a port of the loopback interface that is free now; each is returned once. */
    public static synchronized int freePort() throws IOException {
        for (int tries = 0; tries < PORT_SPAN; tries++) {
            int port = FIRST_PORT + nextPort++ % PORT_SPAN;
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // Another process uses the port; the next one is tried.
            }
        }
        throw new IOException("no port is free");
    }

    public <T extends AutoCloseable> T add(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    /** A process of a host with its addresses. */
    public final class HostProcess {
        public final String name;
        public final boolean entry;
        public final int callers;
        public final int readiness;
        public final int directory;
        public final int peers;
        public final int metrics;
        private final Path settings;
        private volatile Process process;
        private volatile boolean ending;

        HostProcess(String name, boolean entry, String zone, int platformPort) throws IOException {
            this.name = name;
            this.entry = entry;
            callers = freePort();
            readiness = freePort();
            directory = freePort();
            peers = freePort();
            metrics = freePort();
            settings = folder.resolve(name + ".toml");
            StringBuilder text = new StringBuilder();
            text.append("role = \"%s\"\nhost = \"%s\"\n".formatted(role(), name));
            text.append("availability_zone = \"%s\"\nadapter = \"fleet\"\n".formatted(zone));
            text.append("processor_share = 0.75\n[listeners]\n");
            if (entry) {
                text.append("callers = \"127.0.0.1:%d\"\n".formatted(callers));
                text.append("readiness = \"127.0.0.1:%d\"\n".formatted(readiness));
                text.append("directory = \"127.0.0.1:%d\"\n".formatted(directory));
            }
            text.append("peers = \"127.0.0.1:%d\"\n".formatted(peers));
            text.append("metrics = \"127.0.0.1:%d\"\n".formatted(metrics));
            text.append("[key_value]\naddress = \"127.0.0.1:%d\"\n".formatted(platformPort));
            text.append("minimum_lease_ms = 1000\n[storage]\n");
            if (!entry) {
                Path data = Files.createDirectories(folder.resolve(name + "-data"));
                text.append("folder = \"%s\"\ndisk_mb = 330\n".formatted(data));
            }
            text.append("tolerated_losses = 1\n[shutdown]\ngrace_s = 8\n");
            text.append("[directory]\ntime_to_live_ms = 1000\n[propagation]\n");
            text.append("recovery_ms = 3000\nrelease_ms = 2000\ndrain_ms = 2000\n");
            if (entry) {
                text.append("followers = true\n[placement]\n");
                text.append("learned_cost = true\nminimum_hosts = 17\n");
            }
            Files.writeString(settings, text);
        }

        private String role() {
            return entry ? "entry" : "storage";
        }

        /** Starts the command of the deploy file for the role of this host. */
        public void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runCommand(role()).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
            builder.environment().put("TAMARACKFOLD_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            Path log = folder.resolve(name + ".log");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            ending = false;
            process = builder.start();
            note("host %s started, pid %d", name, process.pid());
            process.onExit().thenAccept(this::onExit);
        }

        private void onExit(Process ended) {
            if (!ending) {
                note("host %s ended by itself, status %d", name, ended.exitValue());
            }
        }

        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        public void signal(String signal) throws IOException, InterruptedException {
            ending |= signal.equals("KILL") || signal.equals("TERM");
            note("SIG%s to %s", signal, name);
            String pid = Long.toString(process.pid());
            new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
        }

        public void awaitEnd(long millis) throws InterruptedException {
            process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        void kill() {
            ending = true;
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** Returns the lines of the log that contain a text. */
        public List<String> logLines(String text) throws IOException {
            try (var lines =
                    Files.lines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1)) {
                return lines.filter(line -> line.contains(text)).toList();
            }
        }

        /** Returns whether the host answers its readiness question with 200. */
        public boolean isReady() {
            try {
                return Http.get(readiness, "/-/ready", 1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        public void awaitReady(long millis) throws IOException, InterruptedException {
            long end = System.nanoTime() + millis * 1_000_000;
            while (!isReady()) {
                if (System.nanoTime() > end) {
                    throw new IOException(name + " is not ready");
                }
                Thread.sleep(50);
            }
            note("host %s is ready", name);
        }
    }

    private String runCommand(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no command of role " + role + " in the deploy file");
    }

    /** Creates a host that is not started yet. */
    public HostProcess host(String name, boolean entry, String zone) throws IOException {
        return host(name, entry, zone, platform.port());
    }

    /** Creates a host that reaches the key-value service at a port of its own. */
    public HostProcess host(String name, boolean entry, String zone, int platformPort)
            throws IOException {
        HostProcess host = new HostProcess(name, entry, zone, platformPort);
        hosts.add(host);
        return host;
    }

    private void killAll() {
        hosts.forEach(HostProcess::kill);
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        platform.close();
        record.close();
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** A message of HTTP/1.1 as it was read. */
    public record Message(String startLine, Map<String, String> headers, byte[] body) {
        public int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        public String header(String name) {
            return headers.get(name.toLowerCase());
        }

        public String path() {
            return startLine.split(" ")[1];
        }
    }

    /** Reads and writes messages of HTTP/1.1. */
    public static final class Http {
        private Http() {}

        /** Reads a head; null at the end of the connection before its first byte. */
        public static Message readHead(InputStream in) throws IOException {
            String start = line(in);
            if (start == null) {
                return null;
            }
            Map<String, String> headers = new TreeMap<>();
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).trim().toLowerCase(),
                        line.substring(colon + 1).trim());
            }
            return new Message(start, headers, new byte[0]);
        }

        /** Reads a message with its body. */
        public static Message read(InputStream in, boolean response) throws IOException {
            Message head = readHead(in);
            if (head == null) {
                return null;
            }
            byte[] body = new byte[0];
            String length = head.header("Content-Length");
            if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
                var out = new java.io.ByteArrayOutputStream();
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        throw new IOException("the body ends early");
                    }
                    int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (count == 0) {
                        line(in);
                        break;
                    }
                    out.writeBytes(exactly(in, count));
                    line(in);
                }
                body = out.toByteArray();
            } else if (length != null) {
                body = exactly(in, Integer.parseInt(length));
            } else if (response) {
                body = in.readAllBytes();
            }
            return new Message(head.startLine(), head.headers(), body);
        }

        private static byte[] exactly(InputStream in, int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new IOException("the body ends early");
            }
            return bytes;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return line.isEmpty() ? null : line.toString();
                }
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.toString();
        }

        public static void write(OutputStream out, String head, byte[] body) throws IOException {
            OutputStream buffered = new BufferedOutputStream(out, 16 * 1024);
            buffered.write(head.getBytes(StandardCharsets.ISO_8859_1));
            buffered.write(body);
            buffered.flush();
        }

        /** Asks once on a new connection. */
        public static Message get(int port, String path, int timeoutMillis) throws IOException {
            try (java.net.Socket socket = new java.net.Socket()) {
                socket.connect(new java.net.InetSocketAddress("127.0.0.1", port), timeoutMillis);
                socket.setSoTimeout(timeoutMillis);
                String head =
                        "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n"
                                .formatted(path);
                write(socket.getOutputStream(), head, new byte[0]);
                Message answer =
                        read(new java.io.BufferedInputStream(socket.getInputStream()), true);
                if (answer == null) {
                    throw new IOException("no answer");
                }
                return answer;
            }
        }
    }
}
