package org.tamarackfold.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Load pattern: programs whose turns share a prompt, before endpoints of which most are limited.
 */
public final class AffinityPreferenceTest {
    private AffinityPreferenceTest() {}

    /** One host with ten endpoints, of which seven state a limit of one call a second. */
    public static final class MostEndpointsLimited {
        private static final ServiceName SERVICE = new ServiceName("models");
        private static final int ENDPOINTS = 10;
        private static final int LIMITED = 7;
        private static final int PROGRAMS = 60;
        private static final int TURN_INTERVAL_MILLIS = 50;

        private final List<EndpointId> ids = new ArrayList<>();
        private final Random random = new Random(7);
        private EndpointTable table;
        private long nowMillis;

        /** Registers the endpoints. */
        @BeforeMethod
        public void register() {
            nowMillis = 1_770_000_000_000L;
            ids.clear();
            table =
                    new EndpointTable(
                            new AvailabilityZone("a"),
                            new Random(1),
                            () -> EndpointTables.shares("host-0", 1),
                            () -> Instant.ofEpochMilli(nowMillis));
            for (int i = 0; i < ENDPOINTS; i++) {
                EndpointId id = new EndpointId("i-" + Integer.toHexString(0x5fc0f00 + 977 * i));
                ids.add(id);
                Address address = new Address("10.0.0." + (i + 1), 80);
                AvailabilityZone zone = new AvailabilityZone("a");
                table.put(
                        new EndpointRecord(
                                id,
                                SERVICE,
                                address,
                                zone,
                                12,
                                false,
                                1,
                                SoftwareVersion.UNSTATED));
            }
        }

        private EndpointId takeTurn(String program) {
            nowMillis += TURN_INTERVAL_MILLIS;
            SelectionRequest request =
                    new SelectionRequest(SERVICE, Option.some(program), HashSet.empty());
            Selection selection = table.select(request, nowMillis * 1_000_000);
            EndpointId id = ((Selection.Selected) selection).endpoint().id();
            boolean limited = ids.indexOf(id) < LIMITED;
            Option<RateLimit> limit = limited ? Option.some(new RateLimit(1)) : Option.none();
            table.recordRateLimit(id, limit, nowMillis * 1_000_000);
            table.release(id);
            return id;
        }

        /**
         * Guards against programs whose turns visit ever other endpoints, each of which processes
         * the whole prompt again: with a limit on most endpoints, each turn found another one that
         * just had a permit.
         */
        @Test
        public void aProgramStaysAtFewEndpoints() {
            Map<String, Set<String>> visited = new HashMap<>();
            for (int turn = 0; turn < 40 * PROGRAMS; turn++) {
                String program = "program-" + random.nextInt(PROGRAMS);
                EndpointId id = takeTurn(program);
                if (turn >= 5 * PROGRAMS) {
                    visited.computeIfAbsent(program, key -> new TreeSet<>()).add(id.value());
                }
            }
            double mean = visited.values().stream().mapToInt(Set::size).average().orElseThrow();
            assertTrue(mean < 1.5, mean + " endpoints for a program");
        }

        /** Guards against limits that are not used, because no program prefers their endpoints. */
        @Test
        public void theLimitsAreUsed() {
            Map<EndpointId, Integer> calls = new HashMap<>();
            for (int turn = 0; turn < 40; turn++) {
                for (int program = 0; program < PROGRAMS; program++) {
                    calls.merge(takeTurn("program-" + program), 1, Integer::sum);
                }
            }
            int seconds = 40 * PROGRAMS * TURN_INTERVAL_MILLIS / 1_000;
            int limitedCalls =
                    ids.subList(0, LIMITED).stream()
                            .mapToInt(id -> calls.getOrDefault(id, 0))
                            .sum();
            assertTrue(limitedCalls > LIMITED * seconds / 2, limitedCalls + " calls");
            assertEquals(calls.values().stream().mapToInt(Integer::intValue).sum(), 40 * PROGRAMS);
        }
    }
}
