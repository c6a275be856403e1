package org.tamarackfold.keyvalue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tamarackfold.standin.MemoryKeyValueService;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Detection of an outage and the recovery of the key-value service by a watcher. */
public final class PrefixWatcherTest {
    private PrefixWatcherTest() {}

    /** A watcher under virtual time whose reports of reachability are recorded. */
    abstract static class Fixture {
        VirtualScheduler scheduler;
        MemoryKeyValueService service;
        List<Boolean> reachability;

        /** Starts the watcher. */
        @BeforeMethod
        public void start() {
            scheduler = new VirtualScheduler();
            service = new MemoryKeyValueService(scheduler);
            reachability = new ArrayList<>();
            new PrefixWatcher(service, "", listener(), scheduler, new Random(1)).start();
            advance(100);
        }

        private PrefixWatcher.Listener listener() {
            return new PrefixWatcher.Listener() {
                @Override
                public void onListing(KeyValueService.Listing listing) {}

                @Override
                public void onChange(KeyValueService.Change change) {}

                @Override
                public void onReachabilityChanged(boolean reachable) {
                    reachability.add(reachable);
                }
            };
        }

        void advance(long millis) {
            scheduler.advance(Duration.ofMillis(millis));
        }
    }

    /** The service stops answering and recovers; no key changes meanwhile. */
    public static final class Outage extends Fixture {
        /**
         * Guards against a recovery that is detected only after the full wait of a watch: without a
         * change to report, the service responds to the first watch after the outage only then.
         */
        @Test
        public void recoveryIsDetectedWithoutChange() {
            service.setDown(true);
            advance(10_000);
            assertEquals(reachability, List.of(false));
            service.setDown(false);
            advance(500);
            assertEquals(reachability, List.of(false, true));
        }

        /** Guards against a watcher that retries without back-off during an outage. */
        @Test
        public void retriesBackOff() {
            service.setDown(true);
            advance(4_000);
            long callsBefore = service.calls();
            advance(10_000);
            long retries = service.calls() - callsBefore;
            assertTrue(retries <= 50, "expected at most 50 calls in 10 s, got " + retries);
            assertFalse(retries == 0);
        }
    }
}
