package org.tamarackfold.standin.http;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.node.runtime.EntryNode;
import org.tamarackfold.node.runtime.Host;
import org.tamarackfold.node.runtime.StorageNode;
import org.tamarackfold.settings.HostRole;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.KeyValueSettings;
import org.tamarackfold.standin.ExecutorScheduler;
import org.tamarackfold.standin.MemoryKeyValueService;

/**
 * Demo session of a small agent program. Runs two storage hosts, an entry host, a model engine and
 * an application engine in one process on loopback. The transcript is the same on each run.
 */
public final class DemoSession implements AutoCloseable {
    private static final Duration STARTUP_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final String RELEASE =
            """
            version = 1
            [[routes]]
            name = "draft"
            host = "127.0.0.1"
            prefix = "/draft/"
            kind = "stream"
            service = "models"
            keeps_history = true
            [[routes]]
            name = "submit"
            host = "127.0.0.1"
            prefix = "/submit/"
            kind = "at_most_once"
            service = "ledger"
            [[services]]
            name = "models"
            tokens_per_event = 10
            slots = 2
            [[services]]
            name = "ledger"
            slots = 2
            """;

    private final PrintStream out;
    private final Path folder;
    private final MemoryKeyValueService keyValue =
            new MemoryKeyValueService(new ExecutorScheduler());
    private final ScriptedEndpoint modelEngine = new ScriptedEndpoint();
    private final ScriptedEndpoint applicationEngine = new ScriptedEndpoint();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Host> hosts = new ArrayList<>();
    private Address entryAddress;

    private DemoSession(PrintStream out, Path folder) throws IOException {
        this.out = out;
        this.folder = folder;
    }

    /**
     * Runs the session and returns when the response to its last call is complete. The hosts run
     * until the session is closed.
     *
     * @param out receives the transcript
     * @param folder the folder in which the hosts create their data folders
     */
    public static DemoSession run(PrintStream out, Path folder)
            throws IOException, InterruptedException {
        DemoSession session = new DemoSession(out, folder);
        session.start();
        session.makeCalls();
        return session;
    }

    private void start() throws IOException {
        StandaloneAdapter adapter = new StandaloneAdapter(keyValue);
        keyValue.write(
                Vector.empty(),
                Vector.of(
                        new KeyValueService.Put(
                                adapter.releaseKey(), RELEASE.getBytes(StandardCharsets.UTF_8), 0),
                        registration("model-engine", "models", modelEngine),
                        registration("application-engine", "ledger", applicationEngine)),
                Vector.empty());
        for (int i = 1; i <= 2; i++) {
            hosts.add(StorageNode.start(settings(HostRole.STORAGE, "storage-" + i), adapter));
        }
        HostSettings entry = settings(HostRole.ENTRY, "entry-1");
        entryAddress = entry.callerAddress().get();
        hosts.add(EntryNode.start(entry, adapter));
    }

    private static KeyValueService.Put registration(
            String id, String service, ScriptedEndpoint endpoint) {
        return StandaloneAdapter.registration(
                new EndpointRecord(
                        new EndpointId(id),
                        new ServiceName(service),
                        endpoint.address(),
                        new AvailabilityZone("zone-a"),
                        2,
                        false,
                        0,
                        SoftwareVersion.UNSTATED));
    }

    private HostSettings settings(HostRole role, String name) throws IOException {
        return HostSettings.builder()
                .role(role)
                .host(new HostId(name))
                .zone(new AvailabilityZone("zone-" + name))
                .adapterName("own")
                .callerAddress(Option.some(freeAddress()))
                .readinessAddress(Option.some(freeAddress()))
                .directoryAddress(Option.some(freeAddress()))
                .peerAddress(freeAddress())
                .metricsAddress(freeAddress())
                .keyValue(new KeyValueSettings(freeAddress(), Duration.ofSeconds(1)))
                .toleratedLosses(1)
                .dataFolder(Option.some(Files.createDirectories(folder.resolve(name))))
                .diskMegabytes(100)
                .build();
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }

    private void makeCalls() throws IOException, InterruptedException {
        out.println("# a turn; the budget of the program is 60 tokens, 20 a turn");
        scriptEvents("turn-1", "Dear", "funder");
        call("draft", "turn-1", "", "Draft the report. ");
        out.println("# the next turn carries its new input only; the engine receives the history");
        scriptEvents("turn-2", "Total", "900");
        call("draft", "turn-2", "turn-1", "Add the total. ");
        out.println("engine received: " + lastRequest(modelEngine).body().replace("\n", "\\n"));
        out.println("# a submission that must not run twice; its answer is lost");
        applicationEngine.respond(new ScriptedEndpoint.Step.Reset());
        call("submit", "submit-1", "", "report");
        out.println("runs of the submission: " + applicationEngine.received().size());
        out.println("# an engine that is full has not run the call");
        applicationEngine.respond("503 Busy", "Not-Run: 1", "");
        call("submit", "submit-2", "", "report");
        out.println("# a turn that continues from one that does not exist");
        call("draft", "turn-3", "turn-0", "Continue. ");
        out.println("# the last 20 tokens, then the budget is spent");
        scriptEvents("turn-4", "Bye", "now");
        call("draft", "turn-4", "turn-2", "Close. ");
        call("draft", "turn-5", "turn-4", "More. ");
    }

    private static ScriptedEndpoint.ReceivedRequest lastRequest(ScriptedEndpoint endpoint) {
        return endpoint.received().getLast();
    }

    private void scriptEvents(String callId, String... data) {
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < data.length; i++) {
            body.append("id: ").append(i + 1).append("\ndata: ").append(data[i]).append("\n\n");
        }
        String headers = "Answer-Signature: engine\r\nCall-Id: " + callId;
        modelEngine.respond("200 OK", headers, body.toString());
    }

    private void call(String route, String id, String parent, String input)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + entryAddress + "/" + route + "/"))
                        .header("Call-Id", id)
                        .header("Program-Id", "program-1")
                        .header("Program-Token-Budget", "60")
                        .header("Token-Usage", "10,20")
                        .POST(HttpRequest.BodyPublishers.ofString(input));
        if (!parent.isEmpty()) {
            request.header("Parent-Call", parent);
        }
        HttpResponse<String> response = sendWhenReady(request.build());
        out.println("> " + route + " " + id + ": " + input.trim());
        out.println(
                "< " + response.statusCode() + " " + response.body().trim().replace("\n", "\\n"));
    }

    /** Sends a request; retries the first one while it fails because the hosts are starting. */
    private HttpResponse<String> sendWhenReady(HttpRequest request)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + STARTUP_TIMEOUT.toNanos();
        while (true) {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            boolean starting =
                    response.statusCode() == SERVICE_UNAVAILABLE
                            && modelEngine.received().isEmpty();
            if (!starting || System.nanoTime() - deadlineNanos > 0) {
                return response;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Stops the hosts, which takes some seconds, and the engines. */
    @Override
    public void close() {
        List<Thread> stops = new ArrayList<>();
        for (Host host : hosts) {
            stops.add(Thread.ofVirtual().start(host::stop));
        }
        try {
            for (Thread stop : stops) {
                stop.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        modelEngine.close();
        applicationEngine.close();
        client.close();
    }
}
