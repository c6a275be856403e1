package org.tamarackfold.daemon.soak;

import io.vavr.collection.Vector;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;

/**
 * What callers and endpoints have seen of each attempt; checks the rules as events arrive. Guarded
 * by its own monitor, which is never held while another lock is taken.
 */
public final class Ledger {
    /** Time within which a closed connection may cross a request, in nanoseconds. */
    private static final long LOSS_SLACK_NANOS = 200_000_000L;

    /** Time until a draining endpoint must not receive new calls, in nanoseconds. */
    private static final long DRAIN_NANOS = 2_000_000_000L;

    /** Time after the grace period for which a stop counts as planned, in nanoseconds. */
    private static final long AFTER_GRACE_NANOS = 1_000_000_000L;

    /** Calls that hosts may cut outside of any stop; the platform allows as many. */
    private static final int ALLOWED_CUTS = 3;

    /** A run of an attempt at an endpoint, and the answer that it sends. */
    private record Run(CallId attempt, BodyDigest answer) {}

    private record LeavingMark(HostId host, EndpointId endpoint) {}

    private static final class Attempt {
        final CallId call;
        final CallKind kind;
        final HostId host;
        final BodyDigest expectedBody;
        final boolean firstTry;
        final long sentNanos = System.nanoTime();
        final long deadlineNanos;
        Outcome outcome;
        int runs;
        long lastRunEndNanos;

        Attempt(
                CallId call,
                CallKind kind,
                HostId host,
                BodyDigest expectedBody,
                boolean firstTry,
                long deadlineNanos) {
            this.firstTry = firstTry;
            this.call = call;
            this.kind = kind;
            this.host = host;
            this.expectedBody = expectedBody;
            this.deadlineNanos = deadlineNanos;
        }
    }

    private final FaultTimeline faults;
    private final PrintStream out;
    private final long seed;
    private final long graceNanos;
    private final long startNanos = System.nanoTime();
    private final Map<CallId, Attempt> attempts = new HashMap<>();
    private final Set<CallId> calls = new HashSet<>();
    private final Map<CallId, Integer> runsOfCalls = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();

    /** When a host first passed on a response in which an endpoint states that it leaves. */
    private final Map<LeavingMark, Long> leavingSinceNanos = new HashMap<>();

    private final Map<String, Integer> counts = new TreeMap<>();
    private Vector<String> violations = Vector.empty();
    private int cuts;

    /**
     * Creates an empty ledger.
     *
     * @param out receives a line for each violation
     * @param graceNanos the time from SIGTERM to SIGKILL, in nanoseconds
     */
    public Ledger(FaultTimeline faults, PrintStream out, long seed, long graceNanos) {
        this.faults = faults;
        this.out = out;
        this.seed = seed;
        this.graceNanos = graceNanos;
    }

    /** Records a violation and prints it. */
    public synchronized void report(Rule rule, Object call, String seen) {
        String line =
                "VIOLATION seed=%d at=%.3fs call=%s rule=%s seen=\"%s\""
                        .formatted(seed, seconds(System.nanoTime()), call, rule, seen);
        violations = violations.append(line);
        out.println(line);
        out.flush();
    }

    /** Returns the violations so far. */
    public synchronized Vector<String> violations() {
        return violations;
    }

    /** Returns the number of attempts by route and outcome. */
    public synchronized Map<String, Integer> counts() {
        return new TreeMap<>(counts);
    }

    /** Returns a time as seconds since the start of the run. */
    public double seconds(long nanos) {
        return (nanos - startNanos) / 1e9;
    }

    /**
     * Records that a caller sends an attempt.
     *
     * @param call the id that all attempts of the call share
     * @param host the entry host that it is sent to
     * @param expectedBody the body that an endpoint must receive
     * @param deadlineNanos until when the caller waits, on the clock of {@link System#nanoTime}
     */
    public synchronized void sent(
            CallId attempt,
            CallId call,
            CallKind kind,
            HostId host,
            BodyDigest expectedBody,
            long deadlineNanos) {
        boolean firstTry = calls.add(call);
        attempts.put(attempt, new Attempt(call, kind, host, expectedBody, firstTry, deadlineNanos));
    }

    /** Records that an endpoint begins to run an attempt. */
    public synchronized void runBegins(
            CallId id, String signature, BodyDigest body, BodyDigest answer, EndpointId endpoint) {
        Attempt attempt = attempts.get(id);
        if (attempt == null) {
            report(Rule.ALTERED, id, endpoint + " received an id that no caller has sent");
            return;
        }
        runs.put(signature, new Run(id, answer));
        attempt.runs++;
        int runsOfCall = runsOfCalls.merge(attempt.call, 1, Integer::sum);
        if (!attempt.expectedBody.equals(body)) {
            report(
                    Rule.ALTERED,
                    id,
                    "%s received %d bytes of body, expected %d"
                            .formatted(endpoint, body.length(), attempt.expectedBody.length()));
        }
        if (!attempt.kind.mayRunAgain() && runsOfCall > 1) {
            report(Rule.TWICE, id, "run %d of call %s".formatted(runsOfCall, attempt.call));
        }
        if (attempt.outcome instanceof Outcome.Rejected rejected) {
            checkRefusal(id, attempt, rejected);
        }
        checkLeaving(id, attempt, endpoint);
    }

    /** Records that a caller received a response in which an endpoint states that it leaves. */
    public synchronized void leavingPassedOn(CallId id, EndpointId endpoint) {
        leavingSinceNanos.putIfAbsent(
                new LeavingMark(attempts.get(id).host, endpoint), System.nanoTime());
    }

    /** Checks a call at an endpoint of which its host has passed on that it leaves. */
    private void checkLeaving(CallId id, Attempt attempt, EndpointId endpoint) {
        Long sinceNanos = leavingSinceNanos.get(new LeavingMark(attempt.host, endpoint));
        if (sinceNanos == null
                || attempt.sentNanos - sinceNanos < DRAIN_NANOS
                || faults.wasInterrupted(attempt.host.value(), sinceNanos, System.nanoTime())) {
            return;
        }
        report(
                Rule.DRAIN,
                id,
                "%s reached %s, sent %d ms after it had passed on that the endpoint leaves"
                        .formatted(
                                attempt.host,
                                endpoint,
                                (attempt.sentNanos - sinceNanos) / 1_000_000));
    }

    /** Records the end of a run at its endpoint. */
    public synchronized void runEnds(CallId id) {
        Attempt attempt = attempts.get(id);
        if (attempt != null) {
            attempt.lastRunEndNanos = System.nanoTime();
        }
    }

    /**
     * Checks a new call at a draining endpoint.
     *
     * @param acknowledgedNanos when the key-value service acknowledged the draining state
     */
    public synchronized void arrivesWhileDraining(
            CallId id, EndpointId endpoint, long acknowledgedNanos) {
        long nowNanos = System.nanoTime();
        Attempt attempt = attempts.get(id);
        boolean excused =
                nowNanos - acknowledgedNanos < DRAIN_NANOS
                        || attempt == null
                        || faults.isDisturbed(acknowledgedNanos, nowNanos)
                        || faults.isDisturbed(attempt.host.value(), nowNanos);
        if (!excused) {
            report(
                    Rule.DRAIN,
                    id,
                    "%s reached %s %d ms after it had reported draining"
                            .formatted(
                                    attempt.host,
                                    endpoint,
                                    (nowNanos - acknowledgedNanos) / 1_000_000));
        }
    }

    /**
     * Checks the first tries at hosts that have been cut off from all endpoints until now, from the
     * time on by which they must have found out. Not checked beside other unplanned faults. Hosts
     * that were stopped meanwhile do not count, nor others that were cut off themselves.
     */
    public synchronized void checkContact(Set<HostId> cutHosts, long cutSinceNanos) {
        long fromNanos = cutSinceNanos + FaultTimeline.CONTACT_NANOS;
        if (faults.hasOtherThanCuts(fromNanos, System.nanoTime())) {
            return;
        }
        long nowNanos = System.nanoTime();
        Predicate<HostId> counts =
                host ->
                        !faults.wasInterrupted(host.value(), cutSinceNanos, nowNanos)
                                && (cutHosts.contains(host)
                                        || !faults.wasCutOff(
                                                host.value(), cutSinceNanos, nowNanos));
        ContactCheck check = new ContactCheck(cutHosts);
        attempts.forEach(
                (id, attempt) -> {
                    boolean ended = attempt.sentNanos > fromNanos && attempt.outcome != null;
                    if (attempt.firstTry
                            && ended
                            && !hasInvalidKey(attempt)
                            && !(attempt.kind instanceof CallKind.Surge)
                            && counts.test(attempt.host)) {
                        check.add(attempt.host, attempt.outcome instanceof Outcome.Served);
                    }
                });
        out.println("contact seed=%d %s".formatted(seed, check));
        if (check.isBroken()) {
            report(Rule.RECOVER, "none", check.toString());
        }
    }

    /** Returns whether a run with this signature belongs to an attempt and sent this answer. */
    public synchronized boolean isAnswer(CallId attempt, String signature, BodyDigest body) {
        Run run = runs.get(signature);
        return run != null
                && run.attempt().equals(attempt)
                && (body == null || run.answer().equals(body));
    }

    /** Records how an attempt ended and checks what its caller was told. */
    public synchronized void ended(CallId id, Outcome outcome) {
        Attempt attempt = attempts.get(id);
        attempt.outcome = outcome;
        counts.merge(attempt.kind.label() + " " + label(outcome), 1, Integer::sum);
        switch (outcome) {
            case Outcome.Rejected rejected -> {
                checkRefusal(id, attempt, rejected);
                checkClientError(id, attempt, rejected);
            }
            case Outcome.Broken broken -> checkCut(id, attempt, broken);
            case Outcome.Served(), Outcome.NotSent(), Outcome.Abandoned() -> {}
        }
    }

    /** Returns whether the key was rejected; {@link CustomerChecks} checks whether rightly. */
    private static boolean hasInvalidKey(Attempt attempt) {
        return attempt.outcome instanceof Outcome.Rejected(int status, long _)
                && status == CustomerChecks.UNAUTHORIZED;
    }

    private static String label(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Rejected(int status, long _) -> "status-" + status;
            case Outcome.Served() -> "served";
            case Outcome.Broken(String _, boolean _) -> "broken";
            case Outcome.NotSent() -> "not-sent";
            case Outcome.Abandoned() -> "abandoned";
        };
    }

    private void checkRefusal(CallId id, Attempt attempt, Outcome.Rejected rejected) {
        boolean mayHaveRun = attempt.kind.mayRunAgain();
        if (rejected.promisesNotRun() && attempt.runs > 0 && !mayHaveRun) {
            report(
                    Rule.REFUSED,
                    id,
                    "%s answered %d, the call has run %d times"
                            .formatted(attempt.host, rejected.status(), attempt.runs));
        }
    }

    private void checkClientError(CallId id, Attempt attempt, Outcome.Rejected rejected) {
        boolean foreign = rejected.status() == 404 && attempt.kind instanceof CallKind.ForeignTurn;
        if (foreign || hasInvalidKey(attempt)) {
            return;
        }
        if (rejected.status() < 500 && !rejected.promisesNotRun()) {
            boolean turnUnknown = rejected.status() == 404 && attempt.kind instanceof CallKind.Turn;
            report(
                    turnUnknown ? Rule.LOST : Rule.DENIED,
                    id,
                    attempt.host + " answered " + rejected.status());
        }
    }

    /** Checks a connection that ended without a complete answer. */
    private void checkCut(CallId id, Attempt attempt, Outcome.Broken broken) {
        long nowNanos = System.nanoTime();
        boolean read =
                attempt.runs > 0
                        || !broken.hostRefused() && nowNanos - attempt.sentNanos > LOSS_SLACK_NANOS;
        boolean atDeadline = nowNanos - attempt.deadlineNanos > -LOSS_SLACK_NANOS;
        if (!read || atDeadline || faults.isDisturbed(attempt.sentNanos, nowNanos)) {
            return;
        }
        long stopNanos = faults.plannedStopAt(attempt.host.value(), nowNanos);
        if (stopNanos >= 0
                && (isExcusedAtEndOfGrace(attempt, stopNanos)
                        || nowNanos - stopNanos > graceNanos + AFTER_GRACE_NANOS)) {
            return;
        }
        String seen =
                "%s cut the call %.3f s after it was sent, %s, runs=%d: %s"
                        .formatted(
                                attempt.host,
                                (nowNanos - attempt.sentNanos) / 1e9,
                                stopNanos < 0
                                        ? "outside of any stop"
                                        : "%.3f s after SIGTERM"
                                                .formatted((nowNanos - stopNanos) / 1e9),
                                attempt.runs,
                                broken.reason());
        if (stopNanos >= 0 || ++cuts > ALLOWED_CUTS) {
            report(Rule.LOST, id, seen);
        } else {
            out.println("cut seed=%d call=%s seen=\"%s\"".formatted(seed, id, seen));
        }
    }

    /**
     * Returns whether an endpoint still worked on the call in the last sixth of the grace period,
     * and the call was sent at most 3 s after SIGTERM.
     */
    private boolean isExcusedAtEndOfGrace(Attempt attempt, long stopNanos) {
        boolean early = attempt.sentNanos - stopNanos < 3_000_000_000L;
        boolean stillRunning =
                attempt.runs > 0
                        && (attempt.lastRunEndNanos == 0
                                || attempt.lastRunEndNanos - stopNanos > graceNanos * 5 / 6);
        return early && stillRunning;
    }
}
