package org.tamarackfold.daemon.soak.http;

import io.vavr.collection.Vector;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.daemon.soak.CallKind;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Outcome;
import org.tamarackfold.daemon.soak.Program;
import org.tamarackfold.daemon.soak.Rule;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.platform.standin.PlatformDocuments;

/** Caller that makes one call after another and retries as the protocol allows. */
public final class Caller implements Runnable {
    private static final CallHeaderNames NAMES = PlatformDocuments.ADAPTER.callHeaderNames();

    /** What a caller waits for one call, in milliseconds. */
    private static final long DEADLINE_MILLIS = 8_000;

    /** Time after the deadline at which a caller gives up, in milliseconds. */
    private static final long PATIENCE_MILLIS = 1_500;

    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final int MAXIMUM_PAUSE_MILLIS = 250;
    private static final int OK = 200;
    private static final int PAYMENT_REQUIRED = 402;
    private static final ScheduledExecutorService WATCHDOG =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("caller-watchdog").factory());

    private final String name;
    private final Ledger ledger;
    private final Random random;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private final EntryAddresses addresses;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private Program program;
    private int callCount;

    /** Creates a caller; the seed decides its calls. */
    public Caller(String name, Ledger ledger, EntryHosts hosts, long seed) {
        this.name = name;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.addresses = new EntryAddresses(client, hosts.hosts, random);
    }

    /** The entry hosts that callers may use. */
    public static final class EntryHosts {
        private Vector<EntryAddresses.EntryEndpoint> hosts = Vector.empty();

        /** Creates an empty list. */
        public EntryHosts() {}

        /** Adds a host with the addresses of its callers, of the proxy, and of its directory. */
        public void add(
                HostId id,
                org.tamarackfold.id.Address callers,
                org.tamarackfold.id.Address proxy,
                org.tamarackfold.id.Address directory) {
            hosts = hosts.append(new EntryAddresses.EntryEndpoint(id, callers, proxy, directory));
        }
    }

    /** Makes the caller end after its present call. */
    public void stop() {
        stopping.set(true);
    }

    @Override
    public void run() {
        try (client) {
            while (!stopping.get()) {
                new Call(nextKind()).make();
                Thread.sleep(random.nextInt(MAXIMUM_PAUSE_MILLIS));
            }
            client.shutdownNow();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CallKind nextKind() {
        int events = 2 + random.nextInt(Program.MAXIMUM_EVENTS - 1);
        return switch (random.nextInt(6)) {
            case 0 -> new CallKind.Plain();
            case 1, 2 -> new CallKind.Once();
            case 3 -> new CallKind.Stream(events);
            case 4 -> new CallKind.ResumableStream(events * 3);
            default -> new CallKind.Turn(events);
        };
    }

    private void renewProgram() {
        ProgramId id = new ProgramId(name + "-p" + callCount);
        program = new Program(id, Program.MAXIMUM_TURN_TOKENS * (2L + random.nextInt(6)));
    }

    /** One call with all its attempts. */
    private final class Call {
        private final CallKind kind;
        private final CallId id = new CallId(name + "-" + ++callCount);
        private final String input = id + " " + "y".repeat(random.nextInt(2_000)) + ".";
        private final long pauseMillis = random.nextInt(10) == 0 ? 900 : random.nextInt(250);
        private final long deadlineNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        private Vector<StreamEvent> events = Vector.empty();
        private CallId firstEventAttempt;

        Call(CallKind kind) {
            this.kind = kind;
            if (kind instanceof CallKind.Turn && program == null) {
                renewProgram();
            }
        }

        void make() throws InterruptedException {
            Outcome outcome = new Outcome.Abandoned();
            for (int i = 1; i <= MAXIMUM_ATTEMPTS && remainingMillis() > 0; i++) {
                outcome = attempt(new CallId(id + "-" + i));
                if (!mayRetry(outcome)) {
                    break;
                }
                Thread.sleep(retryDelayMillis(outcome));
            }
            if (kind instanceof CallKind.Turn && !(outcome instanceof Outcome.Served)) {
                program = null;
            }
        }

        private long remainingMillis() {
            return (deadlineNanos - System.nanoTime()) / 1_000_000;
        }

        private boolean mayRetry(Outcome outcome) {
            return switch (outcome) {
                case Outcome.Served(), Outcome.Abandoned() -> false;
                case Outcome.NotSent() -> true;
                case Outcome.Broken(String _) -> kind.mayRunAgain();
                case Outcome.Rejected rejected ->
                        rejected.status() != PAYMENT_REQUIRED
                                && (rejected.promisesNotRun()
                                        || rejected.status() >= 500 && kind.mayRunAgain());
            };
        }

        private long retryDelayMillis(Outcome outcome) {
            long asked =
                    outcome instanceof Outcome.Rejected(int _, long retryAfter) ? retryAfter : 0;
            return Math.min(Math.max(asked, 50), Math.max(remainingMillis() / 3, 0));
        }

        private Outcome attempt(CallId attempt) throws InterruptedException {
            EntryAddresses.EntryEndpoint host = addresses.select();
            String body = kind instanceof CallKind.Turn ? program.expectedBody(input) : input;
            ledger.sent(attempt, id, kind, host.id(), body, deadlineNanos);
            Outcome outcome;
            try {
                outcome = receive(attempt, client.send(request(attempt, host), ofInputStream()));
            } catch (ConnectException | HttpConnectTimeoutException e) {
                outcome = new Outcome.NotSent();
            } catch (HttpTimeoutException e) {
                outcome = new Outcome.Abandoned();
            } catch (IOException e) {
                outcome = new Outcome.Broken(String.valueOf(e.getMessage()));
            }
            ledger.ended(attempt, outcome);
            if (!(outcome instanceof Outcome.Served)) {
                addresses.markFailed(host);
            }
            return outcome;
        }

        private static HttpResponse.BodyHandler<InputStream> ofInputStream() {
            return HttpResponse.BodyHandlers.ofInputStream();
        }

        private HttpRequest request(CallId attempt, EntryAddresses.EntryEndpoint host) {
            URI uri = URI.create("http://%s/%s/%s".formatted(host.proxy(), kind.route(), id));
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(uri)
                            .timeout(Duration.ofMillis(remainingMillis() + PATIENCE_MILLIS))
                            .header(NAMES.callId().toString(), attempt.value())
                            .header(NAMES.deadline().toString(), "" + remainingMillis())
                            .header(StandInEndpoint.PAUSE.toString(), "" + pauseMillis)
                            .POST(HttpRequest.BodyPublishers.ofString(input));
            if (kind.eventCount() > 0) {
                request.header(StandInEndpoint.EVENTS.toString(), "" + kind.eventCount());
            }
            if (!events.isEmpty()) {
                request.header(StandInEndpoint.LAST_EVENT.toString(), "" + events.size())
                        .header(PlatformDocuments.RESUMES.toString(), firstEventAttempt.value());
            }
            if (kind instanceof CallKind.Turn) {
                addTurnHeaders(request);
            }
            return request.build();
        }

        private void addTurnHeaders(HttpRequest.Builder request) {
            request.header(NAMES.program().toString(), program.id().value())
                    .header(NAMES.session().toString(), program.id().value())
                    .header(NAMES.tokenBudget().toString(), "" + program.budget())
                    .header(NAMES.tokenUsage().toString(), "10," + Program.MAXIMUM_TURN_TOKENS);
            if (program.lastTurn() != null) {
                request.header(NAMES.parentTurn().toString(), program.lastTurn().value());
            }
        }

        private Outcome receive(CallId attempt, HttpResponse<InputStream> response)
                throws IOException {
            AtomicBoolean abandoned = new AtomicBoolean();
            InputStream stream = response.body();
            ScheduledFuture<?> watchdog =
                    WATCHDOG.schedule(
                            () -> abandon(stream, abandoned),
                            remainingMillis() + PATIENCE_MILLIS,
                            TimeUnit.MILLISECONDS);
            try (stream) {
                if (response.statusCode() != OK) {
                    stream.readAllBytes();
                    return new Outcome.Rejected(response.statusCode(), retryAfter(response));
                }
                receiveBody(attempt, response, stream);
                return new Outcome.Served();
            } catch (IOException e) {
                if (abandoned.get()) {
                    return new Outcome.Abandoned();
                }
                throw e;
            } finally {
                watchdog.cancel(false);
            }
        }

        private static void abandon(InputStream stream, AtomicBoolean abandoned) {
            abandoned.set(true);
            try {
                stream.close();
            } catch (IOException e) {
                // The connection has already ended.
            }
        }

        private static long retryAfter(HttpResponse<?> response) {
            return response.headers()
                    .firstValue("Retry-After")
                    .map(seconds -> Math.round(Double.parseDouble(seconds) * 1_000))
                    .orElse(0L);
        }

        private void receiveBody(
                CallId attempt, HttpResponse<InputStream> response, InputStream stream)
                throws IOException {
            String signature =
                    response.headers()
                            .firstValue(PlatformDocuments.SIGNATURE.toString())
                            .orElse("none");
            if (kind.eventCount() == 0) {
                String body = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
                if (!ledger.isAnswer(attempt, signature, body)) {
                    String seen = "the body of %d bytes with signature %s is not the endpoint's";
                    ledger.report(Rule.MIXED, attempt, seen.formatted(body.length(), signature));
                }
                return;
            }
            if (!ledger.isAnswer(attempt, signature, null)) {
                ledger.report(Rule.MIXED, attempt, "signature " + signature + " is of another run");
            }
            receiveEvents(attempt, stream);
        }

        private void receiveEvents(CallId attempt, InputStream stream) throws IOException {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
            String pending = null;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.startsWith("data: ")) {
                    pending = line.substring("data: ".length());
                } else if (line.isEmpty() && pending != null) {
                    receiveEvent(attempt, StreamEvent.decode(pending));
                    pending = null;
                }
            }
            if (events.size() < kind.eventCount()) {
                ledger.report(
                        Rule.ORDER,
                        attempt,
                        "the stream is complete after event %d of %d"
                                .formatted(events.size(), kind.eventCount()));
            } else if (kind instanceof CallKind.Turn) {
                program.addTurn(attempt, input, events.map(StreamEvent::data));
            }
        }

        private void receiveEvent(CallId attempt, StreamEvent event) {
            if (!event.attempt().equals(attempt)) {
                ledger.report(Rule.MIXED, attempt, "an event is of call " + event.attempt());
            }
            if (event.number() != events.size() + 1) {
                String seen = "event %d follows event %d";
                ledger.report(Rule.ORDER, attempt, seen.formatted(event.number(), events.size()));
            }
            events.lastOption().forEach(last -> checkRuns(attempt, last, event));
            if (events.isEmpty()) {
                firstEventAttempt = attempt;
            }
            events = events.append(event);
            if (kind instanceof CallKind.Turn && !program.addEvent()) {
                ledger.report(Rule.BUDGET, attempt, "budget of " + program.budget() + " tokens");
            }
        }

        private void checkRuns(CallId attempt, StreamEvent last, StreamEvent event) {
            boolean joined = !last.signature().equals(event.signature());
            if (joined && !kind.mayRunAgain()) {
                ledger.report(Rule.ORDER, attempt, "runs joined after event " + events.size());
            }
            if (!last.softwareVersion().equals(event.softwareVersion())) {
                String seen = "software version %s follows %s after event %d";
                ledger.report(
                        Rule.ORDER,
                        attempt,
                        seen.formatted(
                                event.softwareVersion(), last.softwareVersion(), events.size()));
            }
        }
    }
}
