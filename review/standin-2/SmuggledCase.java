package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends a request whose body has the form of another request. With the disruption, the
 * framing of the body is malformed: its length is no number that fits, or the size of its first
 * chunk is none. Without it, the framing is right.
 */
public final class SmuggledCase {
    private static final int TRIES = 10;

    /** One more than the largest number of 64 bits. */
    private static final String TOO_LARGE = "18446744073709551616";

    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-1","host":"fleet.example","prefix":"/submit/",\
            "type":"unsafe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,\
            "service":"ledger","maxAttempts":1},{"name":"r-2","host":"fleet.example",\
            "prefix":"/confirm/","type":"unsafe","timeoutMs":4000,"targetLatencyMs":800,\
            "priority":2,"service":"ledger","maxAttempts":1}],"services":[{"name":"ledger",\
            "healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000}}""";

    private final Rig rig;
    private final String framing;

    /** The requests that engines have run, by id. */
    private final Map<String, Rig.Message> runs = new ConcurrentHashMap<>();

    private SmuggledCase(Rig rig, String framing) {
        this.rig = rig;
        this.framing = framing;
    }

    public static void main(String[] arguments) {
        Rig.runCase(Path.of(arguments[0]), rig -> new SmuggledCase(rig, arguments[1]).run());
    }

    private int run() throws Exception {
        rig.platform.put("op/config", CONFIG);
        for (int i = 1; i <= 4; i++) {
            rig.add(
                            new Engine(
                                    rig,
                                    "i-" + i,
                                    "ledger",
                                    (engine, request, out) -> {
                                        String id = request.header("X-Tamarackfold-Request-Id");
                                        runs.put(id, request);
                                        rig.note(
                                                "engine %s runs %s: %s, body of %d bytes",
                                                engine.id,
                                                id,
                                                request.startLine(),
                                                request.body().length);
                                        Engine.succeed(request, out);
                                        return true;
                                    }))
                    .register("zone-1");
        }
        Rig.HostProcess host = rig.host("entry-1", true, "zone-1");
        host.start();
        host.awaitReady(20_000);
        Thread.sleep(1_000);
        int smuggled = 0;
        for (int i = 0; i < TRIES; i++) {
            smuggled += send(host) ? 1 : 0;
        }
        rig.note("%d requests, %d of those in their bodies ran", TRIES, smuggled);
        return smuggled > 0 ? 1 : 0;
    }

    /** Sends one request; returns whether the one in its body has run. */
    private boolean send(Rig.HostProcess host) throws Exception {
        String id = Client.newId();
        String idInBody = Client.newId();
        String body =
                Client.head("POST", "/confirm/" + idInBody, idInBody, 4_000, "", 0)
                        .replace("Content-Length: 0\r\n", "");
        try (Client client = new Client(host.callers)) {
            rig.note("sent %s with %s in its body", id, idInBody);
            byte[] message = (head(id, body) + framed(body)).getBytes(StandardCharsets.US_ASCII);
            Rig.Http.write(client.out(), "", message);
            for (int answer = 1; answer <= 2; answer++) {
                Rig.Message seen = client.receive(500);
                rig.note("answer %d: %s", answer, seen == null ? "closed" : seen.startLine());
                if (seen == null) {
                    break;
                }
            }
        } catch (IOException e) {
            rig.note("no further answer: %s", e.getMessage());
        }
        Thread.sleep(200);
        return runs.containsKey(idInBody);
    }

    private String head(String id, String body) {
        String field =
                switch (framing) {
                    case "length" -> "Content-Length: " + (Rig.TROUBLE ? TOO_LARGE : body.length());
                    case "chunk" -> "Transfer-Encoding: chunked";
                    default -> throw new IllegalArgumentException(framing);
                };
        return "POST /submit/%s HTTP/1.1\r\nHost: fleet.example\r\n%s\r\n%s\r\n%s\r\n\r\n"
                .formatted(
                        id,
                        "X-Tamarackfold-Request-Id: " + id,
                        "X-Tamarackfold-Deadline-Ms: 6000",
                        field);
    }

    private String framed(String body) {
        if (framing.equals("length")) {
            return body;
        }
        String size = Rig.TROUBLE ? "g\r\n" : Integer.toHexString(body.length() + 2) + "\r\n";
        return size + "\r\n" + body + "\r\n0\r\n\r\n";
    }
}
