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

/** How soon a watcher notices that the key-value service is away and back. */
public final class PrefixWatcherTest {
    private PrefixWatcherTest() {}

    /** A watcher under virtual time that records what it passes on. */
    abstract static class Fixture {
        VirtualScheduler scheduler;
        MemoryKeyValueService service;
        List<Boolean> reachable;

        /** Starts the watcher. */
        @BeforeMethod
        public void start() {
            scheduler = new VirtualScheduler();
            service = new MemoryKeyValueService(scheduler);
            reachable = new ArrayList<>();
            new PrefixWatcher(service, "", listener(), scheduler, new Random(1)).start();
            run(100);
        }

        private PrefixWatcher.Listener listener() {
            return new PrefixWatcher.Listener() {
                @Override
                public void onListing(KeyValueService.Listing listing) {}

                @Override
                public void onChange(KeyValueService.Change change) {}

                @Override
                public void onReachable(boolean value) {
                    reachable.add(value);
                }
            };
        }

        void run(long millis) {
            scheduler.advance(Duration.ofMillis(millis));
        }
    }

    /** The service stops answering and returns without any change. */
    public static final class Outage extends Fixture {
        /**
         * Guards against a return that stays unnoticed for the whole wait of a watch, because the
         * first watch after the outage hears of no change.
         */
        @Test
        public void returnIsNoticedWithoutAChange() {
            service.setDown(true);
            run(10_000);
            assertEquals(reachable, List.of(false));
            service.setDown(false);
            run(500);
            assertEquals(reachable, List.of(false, true));
        }

        /** Guards against a watcher that calls without end while the service is away. */
        @Test
        public void callsArePaused() {
            service.setDown(true);
            run(4_000);
            long before = service.calls();
            run(10_000);
            long made = service.calls() - before;
            assertTrue(made <= 50, "calls in 10 s: " + made);
            assertFalse(made == 0);
        }
    }
}
