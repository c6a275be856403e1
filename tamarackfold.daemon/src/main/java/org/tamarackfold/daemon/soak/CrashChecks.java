package org.tamarackfold.daemon.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tamarackfold.id.EndpointId;

/**
 * Checks that a request which has crashed three endpoints reaches hardly any more of them (BUDGET).
 * Guarded by its own monitor.
 */
public final class CrashChecks {
    /** Endpoints that a request may crash before hosts must know it. */
    private static final int KNOWN_AFTER = 3;

    /** Further runs that the platform allows once hosts must know the request. */
    private static final int ALLOWED_RUNS = 3;

    /** What became of one request, whatever the ids of its attempts. */
    private static final class Request {
        final List<EndpointId> crashed = new ArrayList<>();
        long knownFromNanos;
        int laterRuns;
    }

    private final Ledger ledger;
    private final Map<String, Request> requests = new HashMap<>();

    /** Creates the checks, which report violations to a ledger. */
    public CrashChecks(Ledger ledger) {
        this.ledger = ledger;
    }

    /**
     * Records that an endpoint runs a request that crashes it.
     *
     * @param name the request, equal for all of its attempts
     */
    public synchronized void runBegins(String name, EndpointId endpoint, long nowNanos) {
        Request request = requests.computeIfAbsent(name, unused -> new Request());
        boolean isKnown = request.crashed.size() >= KNOWN_AFTER;
        if (isKnown && nowNanos - request.knownFromNanos > 0) {
            request.laterRuns++;
            if (request.laterRuns == ALLOWED_RUNS + 1) {
                String seen =
                        "endpoints ran it more than %d times after it had crashed %s, %s last";
                ledger.report(
                        Rule.BUDGET, name, seen.formatted(ALLOWED_RUNS, request.crashed, endpoint));
            }
        }
    }

    /** Records that an endpoint has ended under a request. */
    public synchronized void crashed(String name, EndpointId endpoint, long nowNanos) {
        Request request = requests.computeIfAbsent(name, unused -> new Request());
        request.crashed.add(endpoint);
        if (request.crashed.size() == KNOWN_AFTER) {
            request.knownFromNanos = nowNanos + FaultTimeline.CONTACT_NANOS;
        }
    }

    /** Returns the number of endpoints that each request has crashed. */
    public synchronized Map<String, Integer> counts() {
        Map<String, Integer> counts = new HashMap<>();
        requests.forEach((name, request) -> counts.put(name, request.crashed.size()));
        return counts;
    }
}
