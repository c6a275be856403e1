package org.tamarackfold.daemon.soak.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.daemon.soak.BodyDigest;
import org.tamarackfold.daemon.soak.CallKind;
import org.tamarackfold.daemon.soak.ContinuedTurns;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.CustomerChecks;
import org.tamarackfold.daemon.soak.Demand;
import org.tamarackfold.daemon.soak.KeyTable;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Outcome;
import org.tamarackfold.daemon.soak.Program;
import org.tamarackfold.daemon.soak.Rule;
import org.tamarackfold.daemon.soak.ServedShares;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.platform.standin.PlatformDocuments;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseHead;
import org.tamarackfold.transport.TransportFailure;

/** Caller that makes one call after another and retries as the protocol allows. */
public final class Caller implements Runnable {
    private static final CallHeaderNames NAMES = PlatformDocuments.ADAPTER.callHeaderNames();

    /** What a caller waits for one call, in milliseconds. */
    private static final long DEADLINE_MILLIS = 8_000;

    /** Time after the deadline at which a caller gives up, in milliseconds. */
    private static final long PATIENCE_MILLIS = 1_500;

    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final int MAXIMUM_PAUSE_MILLIS = 250;

    /** One call of so many continues a turn of another customer. */
    private static final int FOREIGN_INTERVAL = 12;

    /** Length of a surge and of the time until the next one, in nanoseconds. */
    private static final long SURGE_NANOS = 6_000_000_000L;

    private static final int SURGE_PAUSE_MILLIS = 40;

    /** Pause of a slow reader after 16 KiB, by which 4 MB take about 3 s. */
    private static final Duration SLOW_PAUSE = Duration.ofMillis(10);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** How long connections are kept if the host states nothing. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private static final HttpString POST = new HttpString("POST");

    private static final int OK = 200;
    private static final int PAYMENT_REQUIRED = 402;

    private final String name;
    private final Ledger ledger;
    private final CustomerChecks checks;
    private final KeyTable keys;
    private final ServedShares shares;
    private final ContinuedTurns turns;
    private final Customer customer;
    private final Random random;
    private final IoRuntime runtime;

    /** The transport of the hosts, which accepts no response outside of the grammar of HTTP. */
    private final PooledHttpClient client;

    private final EntryAddresses addresses;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private Program program;
    private int callCount;
    private long callNanos;

    /**
     * Creates a caller of a customer; the seed decides its calls.
     *
     * @param runtime a single I/O thread, so that connections are reused
     */
    public Caller(
            IoRuntime runtime,
            String name,
            Customer customer,
            Ledger ledger,
            CustomerChecks checks,
            KeyTable keys,
            ServedShares shares,
            ContinuedTurns turns,
            Iterable<EntryHost> hosts,
            long seed) {
        this.runtime = runtime;
        this.client = new PooledHttpClient(runtime, IDLE_TIMEOUT.toNanos());
        this.name = name;
        this.customer = customer;
        this.ledger = ledger;
        this.checks = checks;
        this.keys = keys;
        this.shares = shares;
        this.turns = turns;
        this.random = new Random(seed);
        this.addresses = new EntryAddresses(client, ledger, Vector.ofAll(hosts), random);
    }

    /** Makes the caller end after its present call. */
    public void stop() {
        stopping.set(true);
    }

    @Override
    public void run() {
        try {
            while (!stopping.get()) {
                callNanos = System.nanoTime();
                new Call(nextKind()).make();
                Thread.sleep(pauseMillis());
            }
        } catch (RuntimeException e) {
            ledger.report(Rule.MIXED, name, "the caller ended on a malformed answer: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the pause before the next call, in milliseconds. */
    private long pauseMillis() {
        return switch (customer.demand()) {
            case Demand.Flood flood -> {
                long nowNanos = System.nanoTime();
                long dueNanos = callNanos + flood.intervalMillis() * 1_000_000L;
                yield Math.max(0, (dueNanos - nowNanos) / 1_000_000);
            }
            case Demand.Surges() when surges() -> random.nextInt(SURGE_PAUSE_MILLIS);
            case Demand.Steady(), Demand.Surges(), Demand.SlowReading() ->
                    random.nextInt(MAXIMUM_PAUSE_MILLIS);
        };
    }

    /** Returns whether customers with surges send more than usual now; all do so together. */
    private static boolean surges() {
        return System.nanoTime() % (2 * SURGE_NANOS) < SURGE_NANOS;
    }

    private CallKind nextKind() {
        int events = 2 + random.nextInt(Program.MAXIMUM_EVENTS - 1);
        return switch (customer.demand()) {
            case Demand.Flood flood -> new CallKind.Surge(flood.runMillis());
            case Demand.Surges() when surges() -> new CallKind.Surge(0);
            case Demand.SlowReading() ->
                    random.nextBoolean() ? new CallKind.Large() : new CallKind.LargeStream();
            case Demand.Steady(), Demand.Surges() -> nextUsualKind(events);
        };
    }

    private CallKind nextUsualKind(int events) {
        boolean hasTurn = program != null && program.lastTurn() != null;
        if (hasTurn && random.nextInt(FOREIGN_INTERVAL) == 0) {
            return new CallKind.ForeignTurn(events);
        }
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
        program = new Program(id, Program.MAXIMUM_TURN_TOKENS * (1L + random.nextInt(4)));
    }

    /** One call with all its attempts. */
    private final class Call {
        private final CallKind kind;
        private final CallId id = new CallId(name + "-" + ++callCount);
        private final String input;
        private final long pauseMillis;
        private final long deadlineNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        private Vector<StreamEvent> events = Vector.empty();
        private CallId firstEventAttempt;

        Call(CallKind kind) {
            this.kind = kind;
            int inputLength = kind.requestBytes() + random.nextInt(2_000);
            input = id + " " + "y".repeat(inputLength) + ".";
            // Answers take about as long as streams, so that faults meet calls at their endpoint.
            pauseMillis =
                    kind instanceof CallKind.Surge(int runMillis)
                            ? runMillis
                            : random.nextInt(kind.eventCount() == 0 ? 1_000 : 250);
            if (kind instanceof CallKind.Turn && program == null) {
                renewProgram();
            }
        }

        void make() throws InterruptedException {
            Outcome outcome = new Outcome.Abandoned();
            Vector<Outcome> outcomes = Vector.empty();
            boolean continues = kind instanceof CallKind.Turn && program.lastTurn() != null;
            long sentNanos = System.nanoTime();
            for (int i = 1; i <= MAXIMUM_ATTEMPTS && remainingMillis() > 0; i++) {
                outcome = attempt(new CallId(id + "-" + i));
                outcomes = outcomes.append(outcome);
                if (kind instanceof CallKind.Surge || !mayRetry(outcome)) {
                    break;
                }
                Thread.sleep(retryDelayMillis(outcome));
            }
            shares.ended(customer, kind, outcome, System.nanoTime());
            if (continues && !outcomes.isEmpty()) {
                turns.ended(outcomes, sentNanos, System.nanoTime());
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
                case Outcome.Broken(String _, boolean _) -> kind.mayRunAgain();
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
            EntryHost host = addresses.select();
            String body = kind.isTurn() ? program.expectedBody(input) : input;
            ledger.sent(attempt, id, kind, host.id(), BodyDigest.of(body), deadlineNanos);
            Option<String> key =
                    kind instanceof CallKind.ForeignTurn
                            ? keys.pickForeign(customer, random)
                            : keys.pick(customer, random);
            checks.sent(attempt, kind, host.id(), key, System.nanoTime());
            Outcome outcome = exchange(attempt, request(attempt, host, key), host.proxy());
            ledger.ended(attempt, outcome);
            checks.ended(attempt, outcome, System.nanoTime());
            if (!(outcome instanceof Outcome.Served)) {
                addresses.markFailed(host);
            }
            return outcome;
        }

        /** Sends a request and receives what arrives; the events before a fault count too. */
        private Outcome exchange(CallId attempt, HttpRequest request, LoopbackProxy proxy)
                throws InterruptedException {
            long sentNanos = System.nanoTime();
            Duration pause =
                    customer.demand() instanceof Demand.SlowReading ? SLOW_PAUSE : Duration.ZERO;
            Reception reception = Reception.start(runtime, client, request, pause);
            Outcome outcome;
            try {
                Either<TransportFailure, ResponseHead> end =
                        reception.await(remainingMillis() + PATIENCE_MILLIS);
                outcome =
                        end.isRight()
                                ? answered(attempt, end.get(), reception.body())
                                : failed(attempt, end.getLeft(), proxy.hasRefusedSince(sentNanos));
            } catch (TimeoutException e) {
                outcome = new Outcome.Abandoned();
            }
            receiveEvents(attempt, reception.body());
            if (outcome instanceof Outcome.Served) {
                checkEnd(attempt);
            }
            return outcome;
        }

        private Outcome answered(CallId attempt, ResponseHead head, String body) {
            if (head.status() != OK) {
                return new Outcome.Rejected(head.status(), retryAfter(head));
            }
            checkSignature(attempt, head, body);
            readLeaving(attempt, head);
            return new Outcome.Served();
        }

        private Outcome failed(CallId attempt, TransportFailure failure, boolean hostRefused) {
            return switch (failure) {
                case TransportFailure.NotSent(String _) -> new Outcome.NotSent();
                case TransportFailure.Malformed(String reason) -> {
                    ledger.report(Rule.MIXED, attempt, "the response is malformed: " + reason);
                    yield new Outcome.Broken(failure.toString(), hostRefused);
                }
                case TransportFailure.Broken(String _),
                        TransportFailure.ClosedBeforeResponse(String _),
                        TransportFailure.TimedOut(boolean _) ->
                        new Outcome.Broken(failure.toString(), hostRefused);
            };
        }

        private HttpRequest request(CallId attempt, EntryHost host, Option<String> key) {
            HeaderMap headers = new HeaderMap();
            headers.put(NAMES.callId(), attempt.value());
            headers.put(NAMES.deadline(), remainingMillis());
            headers.put(StandInEndpoint.PAUSE, pauseMillis);
            if (kind.responseBytes() > 0) {
                headers.put(StandInEndpoint.PADDING, kind.responseBytes());
            }
            if (kind.eventCount() > 0) {
                headers.put(StandInEndpoint.EVENTS, kind.eventCount());
            }
            if (!events.isEmpty()) {
                headers.put(StandInEndpoint.LAST_EVENT, events.size());
                headers.put(PlatformDocuments.RESUMES, firstEventAttempt.value());
            }
            key.forEach(value -> headers.put(Headers.AUTHORIZATION, "Bearer " + value));
            if (kind.isTurn()) {
                addTurnHeaders(headers);
            }
            return HttpRequest.builder()
                    .address(host.proxy().address())
                    .method(POST)
                    .path("/%s/%s".formatted(kind.route(), id))
                    .headers(headers)
                    .body(input.getBytes(StandardCharsets.UTF_8))
                    .connectTimeout(CONNECT_TIMEOUT)
                    .withoutResponseTimeout()
                    .build();
        }

        private void addTurnHeaders(HeaderMap headers) {
            headers.put(NAMES.program(), program.id().value());
            headers.put(NAMES.session(), program.id().value());
            headers.put(NAMES.tokenBudget(), program.budget());
            headers.put(NAMES.tokenUsage(), "10," + Program.MAXIMUM_TURN_TOKENS);
            if (program.lastTurn() != null) {
                headers.put(NAMES.parentTurn(), program.lastTurn().value());
            }
        }

        private static long retryAfter(ResponseHead head) {
            String seconds = head.headers().getFirst(Headers.RETRY_AFTER);
            return seconds == null ? 0 : Math.round(Double.parseDouble(seconds) * 1_000);
        }

        private void checkSignature(CallId attempt, ResponseHead head, String body) {
            String stated = head.headers().getFirst(PlatformDocuments.SIGNATURE);
            String signature = stated == null ? "none" : stated;
            BodyDigest answer = kind.eventCount() == 0 ? BodyDigest.of(body) : null;
            if (!ledger.isAnswer(attempt, signature, answer)) {
                String seen = "the body of %d bytes with signature %s is not the endpoint's";
                ledger.report(Rule.MIXED, attempt, seen.formatted(body.length(), signature));
            }
        }

        private void readLeaving(CallId attempt, ResponseHead head) {
            String signature = head.headers().getFirst(PlatformDocuments.SIGNATURE);
            if (head.headers().contains(NAMES.leaving()) && signature != null) {
                ledger.leavingPassedOn(attempt, StandInEndpoint.endpointOf(signature));
            }
        }

        /** Reads the complete events of a body, which may end early. */
        private void receiveEvents(CallId attempt, String body) {
            int end = body.lastIndexOf("\n\n");
            for (String line : body.substring(0, Math.max(end, 0)).split("\n")) {
                if (line.startsWith("data: ")) {
                    receiveEvent(attempt, StreamEvent.decode(line.substring("data: ".length())));
                }
            }
        }

        private void checkEnd(CallId attempt) {
            if (events.size() < kind.eventCount()) {
                String seen = "the stream is complete after event %d of %d";
                ledger.report(
                        Rule.ORDER, attempt, seen.formatted(events.size(), kind.eventCount()));
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
