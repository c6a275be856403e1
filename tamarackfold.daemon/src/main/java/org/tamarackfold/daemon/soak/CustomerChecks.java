package org.tamarackfold.daemon.soak;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;

/**
 * Checks the promises on keys and customers from what callers sent and endpoints saw. Guarded by
 * its own monitor, within which only those of {@link KeyTable} and {@link Ledger} are taken.
 */
public final class CustomerChecks {
    /** Time within which a release is in force on all connected hosts, in nanoseconds. */
    public static final long RELEASE_NANOS = 3_000_000_000L;

    /** Status of a call without a valid key. */
    static final int UNAUTHORIZED = 401;

    /** An attempt with the key that its caller sent. */
    private record Sent(HostId host, Option<String> key, boolean foreign, long sentNanos) {}

    private final Ledger ledger;
    private final FaultTimeline faults;
    private final KeyTable keys;
    private final Map<CallId, Sent> attempts = new HashMap<>();
    private final Map<Customer, CallWindow> windows = new HashMap<>();

    /** Creates checks that report to a ledger. */
    public CustomerChecks(Ledger ledger, FaultTimeline faults, KeyTable keys) {
        this.ledger = ledger;
        this.faults = faults;
        this.keys = keys;
    }

    /** Records that a caller sends an attempt with a key, or with none. */
    public synchronized void sent(
            CallId attempt, CallKind kind, HostId host, Option<String> key, long nowNanos) {
        boolean foreign = kind instanceof CallKind.ForeignTurn;
        attempts.put(attempt, new Sent(host, key, foreign, nowNanos));
    }

    /**
     * Checks an attempt that an endpoint begins to run.
     *
     * @param customer the customer header of the request; null when there is none
     * @param authorized whether the request has an authorization header
     */
    public synchronized void runBegins(
            CallId id, EndpointId endpoint, String customer, boolean authorized, long nowNanos) {
        Sent attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        if (authorized) {
            ledger.report(Rule.CUSTOMER, id, endpoint + " received an authorization header");
        }
        if (attempt.foreign) {
            ledger.report(Rule.CUSTOMER, id, "runs with the turn of another customer");
        }
        Option<KeyTable.Life> life = attempt.key.flatMap(keys::life);
        if (life.isEmpty()) {
            ledger.report(Rule.KEY, id, attempt.host + " ran a call whose key no release held");
            return;
        }
        String expected = life.get().customer().name().value();
        if (!expected.equals(customer)) {
            String seen = "%s received the customer %s, expected %s";
            ledger.report(Rule.CUSTOMER, id, seen.formatted(endpoint, customer, expected));
        }
        checkWithdrawn(id, attempt, life.get(), nowNanos);
        checkLimit(id, life.get().customer(), nowNanos);
    }

    /** Checks a key by the time at which it was sent, because hosts read it once for each call. */
    private void checkWithdrawn(CallId id, Sent attempt, KeyTable.Life life, long nowNanos) {
        if (!life.isWithdrawn(attempt.sentNanos - RELEASE_NANOS)
                || faults.mayDelayReleases(life.withdrawnNanos(), nowNanos)) {
            return;
        }
        String seen = "%s ran a call sent %d ms after the withdrawal of its key";
        long sinceMillis = (attempt.sentNanos - life.withdrawnNanos()) / 1_000_000;
        ledger.report(Rule.KEY, id, seen.formatted(attempt.host, sinceMillis));
    }

    /** Counts a call; reports the first one above the limit, not those that follow it. */
    private void checkLimit(CallId id, Customer customer, long nowNanos) {
        if (!customer.hasLimit()) {
            return;
        }
        CallWindow window = windows.computeIfAbsent(customer, CallWindow::new);
        if (window.add(nowNanos)
                && !faults.mayHoldRequests(nowNanos - CallWindow.NANOS, nowNanos)) {
            ledger.report(Rule.LIMIT, id, customer.name() + " ran " + window);
        }
    }

    /** Checks how an attempt ended: a valid key must not be rejected. */
    public synchronized void ended(CallId id, Outcome outcome, long nowNanos) {
        Sent attempt = attempts.get(id);
        boolean rejected =
                outcome instanceof Outcome.Rejected(int status, long _) && status == UNAUTHORIZED;
        if (!rejected) {
            return;
        }
        long validFromNanos = attempt.sentNanos - RELEASE_NANOS;
        boolean valid =
                attempt.key
                        .flatMap(keys::life)
                        .exists(life -> life.isValid(validFromNanos, nowNanos));
        if (valid && !faults.mayDelayReleases(validFromNanos, nowNanos)) {
            ledger.report(Rule.KEY, id, attempt.host + " rejected a valid key");
        }
    }
}
