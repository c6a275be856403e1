package org.tamarackfold.endpoint;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;

/**
 * Entry hosts before one endpoint that states a rate limit, in virtual time. Each host learns from
 * its own responses only.
 */
final class LimitedFleet {
    static final int WINDOW_MILLIS = 4_000;
    private static final ServiceName SERVICE = new ServiceName("models");
    private static final EndpointId ENDPOINT = new EndpointId("engine-0");
    private static final int STEP_MILLIS = 10;

    final List<Host> hosts = new ArrayList<>();
    private final List<Long> calls = new ArrayList<>();
    private final Random random;
    private long nowMillis = 1_770_000_000_000L;

    /** The limit that responses state; none when they state none. */
    Option<Double> limit;

    /** A host, with its own view of the fleet and its own clock. */
    final class Host {
        final HostId id;
        Map<HostId, Double> weights = HashMap.empty();
        double callsPerSecond;
        long clockOffsetMillis;
        boolean frozen;
        int sent;
        int refused;
        private final EndpointTable table;

        private Host(HostId id) {
            this.id = id;
            this.table =
                    new EndpointTable(
                            new AvailabilityZone("a"),
                            random,
                            () -> HostShares.of(id, weights),
                            () -> Instant.ofEpochMilli(nowMillis + clockOffsetMillis));
            Address address = new Address("10.0.0.1", 80);
            AvailabilityZone zone = new AvailabilityZone("a");
            table.put(
                    new EndpointRecord(
                            ENDPOINT,
                            SERVICE,
                            address,
                            zone,
                            12,
                            false,
                            1,
                            SoftwareVersion.UNSTATED));
        }

        void call() {
            SelectionRequest request =
                    new SelectionRequest(SERVICE, Option.none(), HashSet.empty());
            long nowNanos = nowMillis * 1_000_000;
            switch (table.select(request, nowNanos)) {
                case Selection.Selected _ -> {
                    sent++;
                    calls.add(nowMillis);
                    table.release(ENDPOINT);
                    table.recordRateLimit(ENDPOINT, limit.map(RateLimit::new), nowNanos);
                }
                case Selection.RateLimited _ -> refused++;
                case Selection.NoneEligible() -> throw new AssertionError("no endpoint");
            }
        }
    }

    LimitedFleet(int size, double limit, double callsPerSecondOfAHost, long seed) {
        this.limit = Option.some(limit);
        this.random = new Random(seed);
        for (int i = 0; i < size; i++) {
            add("host-" + i, callsPerSecondOfAHost);
        }
        shareEqually();
    }

    Host add(String name, double callsPerSecond) {
        Host host = new Host(new HostId(name));
        host.callsPerSecond = callsPerSecond;
        host.weights = HashMap.of(host.id, 1.0);
        hosts.add(host);
        return host;
    }

    /** Gives all hosts the same view: all of them, with equal weights. */
    void shareEqually() {
        Map<HostId, Double> weights = HashMap.empty();
        for (Host host : hosts) {
            weights = weights.put(host.id, 1.0);
        }
        for (Host host : hosts) {
            host.weights = weights;
        }
    }

    /** Lets every host learn the limit, and forgets the calls of that. */
    void learn() {
        hosts.forEach(Host::call);
        calls.clear();
        hosts.forEach(host -> host.sent = 0);
    }

    void runFor(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            for (Host host : List.copyOf(hosts)) {
                boolean calls = random.nextDouble() < host.callsPerSecond * STEP_MILLIS / 1_000;
                if (calls && !host.frozen) {
                    host.call();
                }
            }
        }
    }

    /** Returns the number of calls that the endpoint has received since the hosts learned. */
    int callCount() {
        return calls.size();
    }

    /** Returns the most calls of any 4 s. */
    int busiestWindow() {
        int busiest = 0;
        int first = 0;
        for (int last = 0; last < calls.size(); last++) {
            while (calls.get(last) - calls.get(first) >= WINDOW_MILLIS) {
                first++;
            }
            busiest = Math.max(busiest, last - first + 1);
        }
        return busiest;
    }

    /** Returns what the platform allows in 4 s: one and a half times the limit, and five calls. */
    static double allowed(double limit) {
        return 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
    }
}
