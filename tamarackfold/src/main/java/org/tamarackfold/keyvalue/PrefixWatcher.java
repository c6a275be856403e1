package org.tamarackfold.keyvalue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/** Follows all items under a prefix: lists them once, then watches. */
public final class PrefixWatcher {
    private static final StructuredLog LOG = StructuredLog.of("keyvalue");

    /** Wait of one watch call; bounds how long a silent connection stays unnoticed. */
    private static final Duration WAIT = Duration.ofSeconds(3);

    /** Pause after the first failure; doubles with each further one. */
    private static final long FIRST_PAUSE_MILLIS = 100;

    /** Wait of the first watch after a failure, so that its answer shows the return at once. */
    private static final Duration NO_WAIT = Duration.ZERO;

    /**
     * Longest pause after a failure. Removals are held back from the time at which the return is
     * noticed, and calls to an endpoint that left must end 3 s after the return.
     */
    private static final long LONGEST_PAUSE_MILLIS = 400;

    /** Receives what the watcher reads. */
    public interface Listener {
        /** All items, after a start or when changes may have been missed. */
        void onListing(KeyValueService.Listing listing);

        /** One change. */
        void onChange(KeyValueService.Change change);

        /** The service has stopped answering this watcher, or answers it again. */
        default void onReachable(boolean reachable) {}
    }

    private final KeyValueService service;
    private final String prefix;
    private final Listener listener;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private int failures;
    private volatile boolean stopped;

    /** Creates a watcher. */
    public PrefixWatcher(
            KeyValueService service,
            String prefix,
            Listener listener,
            Scheduler scheduler,
            RandomGenerator random) {
        this.service = service;
        this.prefix = prefix;
        this.listener = listener;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Starts to follow. */
    public void start() {
        list();
    }

    /** Stops after the call in progress. */
    public void stop() {
        stopped = true;
    }

    private void list() {
        if (!stopped) {
            service.list(prefix).thenAccept(this::listed);
        }
    }

    private void listed(Either<Failure, KeyValueService.Listing> result) {
        if (result.isLeft()) {
            failed(result.getLeft(), this::list);
            return;
        }
        succeeded();
        listener.onListing(result.get());
        watch(result.get().asOf());
    }

    private void watch(long after) {
        if (!stopped) {
            Duration wait = failures > 0 ? NO_WAIT : WAIT;
            service.watch(prefix, after, wait).thenAccept(result -> watched(after, result));
        }
    }

    private void watched(long after, Either<Failure, KeyValueService.WatchResult> result) {
        if (result.isLeft()) {
            failed(result.getLeft(), () -> watch(after));
            return;
        }
        succeeded();
        switch (result.get()) {
            case KeyValueService.WatchResult.Changes(var changes, long asOf) -> {
                changes.forEach(listener::onChange);
                watch(asOf);
            }
            case KeyValueService.WatchResult.HistoryLost() -> {
                LOG.event("history_lost").with("prefix", prefix).with("after", after).info();
                list();
            }
        }
    }

    private void succeeded() {
        if (failures > 0) {
            LOG.event("regained").with("prefix", prefix).with("failures", failures).info();
            failures = 0;
            listener.onReachable(true);
        }
    }

    private void failed(Failure failure, Runnable retry) {
        if (failures++ == 0) {
            LOG.event("lost").with("prefix", prefix).with("reason", failure).warn();
            listener.onReachable(false);
        }
        long pause =
                Math.min(FIRST_PAUSE_MILLIS << Math.min(failures - 1, 6), LONGEST_PAUSE_MILLIS);
        long jittered = pause / 2 + random.nextLong(pause / 2 + 1);
        scheduler.after(Duration.ofMillis(jittered), retry);
    }
}
