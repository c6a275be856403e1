package org.tamarackfold.daemon.soak;

import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Set;
import org.tamarackfold.daemon.soak.runtime.SoakLoad;
import org.tamarackfold.daemon.soak.runtime.SoakOptions;
import org.tamarackfold.daemon.soak.runtime.SoakOptions.FaultSelection;
import org.tamarackfold.daemon.soak.runtime.SoakSession;
import org.testng.annotations.Test;

/** Short seeded runs of the fault soak, with hosts as processes. */
public final class SoakTest {
    private SoakTest() {}

    private static void checkSeed(
            long seed, Duration duration, FaultSelection faults, SoakLoad... loads)
            throws Exception {
        SoakOptions options =
                new SoakOptions(
                        seed,
                        duration,
                        2,
                        3,
                        16,
                        faults,
                        Set.of(loads),
                        Files.createTempDirectory("tamarackfold-soak-" + seed + "-"));
        Vector<String> violations = SoakSession.run(options, System.out);
        assertTrue(violations.isEmpty(), violations.mkString("\n"));
    }

    /** Work that operators announce, without other faults. */
    public static final class PlannedWork {
        /**
         * Guards against calls that end without an answer around a planned stop: those that arrive
         * late in the grace period were cut at its end.
         */
        @Test
        public void noCallIsLost() throws Exception {
            checkSeed(2, Duration.ofSeconds(15), FaultSelection.PLANNED);
        }
    }

    /** Killed and frozen processes, broken and silent connections. */
    public static final class UnplannedFaults {
        /** Guards against broken promises beside faults, and a service that does not return. */
        @Test
        public void promisesHold() throws Exception {
            checkSeed(5, Duration.ofSeconds(8), FaultSelection.UNPLANNED);
        }
    }

    /** Entry hosts that are cut off from all endpoints. */
    public static final class CutOffHosts {
        /** Guards against callers that are served worse by hosts which reach no endpoint. */
        @Test
        public void callersAreServedAsElsewhere() throws Exception {
            checkSeed(3, Duration.ofSeconds(12), FaultSelection.CUTS);
        }
    }

    /** Floods, slow readers of large bodies, and endpoints of different speeds at the same time. */
    public static final class HeavyLoad {
        /** Guards against small customers that are starved, and broken promises under load. */
        @Test
        public void promisesHold() throws Exception {
            checkSeed(4, Duration.ofSeconds(12), FaultSelection.PLANNED, SoakLoad.values());
        }
    }

    /** Keys that are withdrawn while the key-value service rejects entry hosts. */
    public static final class WithdrawnKeys {
        /** Guards against hosts that go on to serve withdrawn keys, or reject new ones. */
        @Test
        public void promisesHold() throws Exception {
            checkSeed(1, Duration.ofSeconds(12), FaultSelection.KEYS);
        }
    }

    /** Endpoints that send bytes that are no response, or bytes without end. */
    public static final class SpoiledResponses {
        /** Guards against such bytes that reach callers, end a host, or keep it from others. */
        @Test
        public void promisesHold() throws Exception {
            checkSeed(7, Duration.ofSeconds(12), FaultSelection.SPOILED_RESPONSES);
        }
    }

    /** Endpoints that send malformed heads. */
    public static final class SpoiledHeads {
        /** Guards against responses that reach callers with a body that is not the endpoint's. */
        @Test
        public void promisesHold() throws Exception {
            checkSeed(2, Duration.ofSeconds(12), FaultSelection.SPOILED_HEADS);
        }
    }

    /** Requests that crash the endpoints which run them. */
    public static final class CrashingRequests {
        /** Guards against requests that go on to reach endpoints after they have crashed three. */
        @Test
        public void promisesHold() throws Exception {
            checkSeed(1, Duration.ofSeconds(12), FaultSelection.CRASHING_REQUESTS);
        }
    }
}
