package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.tamarackfold.caller.quarantine.QuarantineRecorder;
import org.tamarackfold.caller.quarantine.QuarantineTimes;
import org.tamarackfold.caller.quarantine.SuspicionKey;
import org.tamarackfold.caller.quarantine.SuspicionReport;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.thrift.QuarantineCodec;
import org.tamarackfold.time.Scheduler;

/**
 * Keeps the requests that crash endpoints in the key-value service, so that they are known after a
 * restart of all hosts at once. Each record ends with a lease, which may be earlier than the
 * quarantine: then a host writes it again. The hosts do not wait for the service: what they know of
 * each other does not depend on it.
 */
public final class QuarantineRecords implements QuarantineRecorder, PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("quarantine");

    /** Longest delay of a write: all hosts decide at about the same time, and one write does. */
    private static final int WRITE_DELAY_MILLIS = 1_500;

    private static final Duration RETRY_DELAY = Duration.ofSeconds(3);

    /** Writes of a record that are tried, in case the service is out of reach. */
    private static final int MAXIMUM_WRITES = 100;

    /** Records that are kept; a request needs three ended endpoints for one. */
    private static final int MAXIMUM_RECORDS = 256;

    /**
     * Time in which hosts learn of each other that a request was answered, and its record removed.
     */
    private static final Duration CLEARING_TIME = Duration.ofSeconds(3);

    /** The records that the service has by key; none for a malformed record. */
    private final Map<String, Option<SuspicionKey>> recorded = new ConcurrentHashMap<>();

    private final KeyValueService service;
    private final Consumer<SuspicionReport> listener;
    private final Function<SuspicionKey, Option<SuspicionReport>> quarantined;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final RandomGenerator random;

    /**
     * Creates the records.
     *
     * @param listener receives the records that the service has
     * @param quarantined returns what this host knows of a request that it rejects
     */
    public QuarantineRecords(
            KeyValueService service,
            Consumer<SuspicionReport> listener,
            Function<SuspicionKey, Option<SuspicionReport>> quarantined,
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random) {
        this.service = service;
        this.listener = listener;
        this.quarantined = quarantined;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the key of a record; the software is part of it. */
    static String keyOf(SuspicionKey key) {
        return SharedKeys.QUARANTINES
                + key.request()
                + "-"
                + Integer.toHexString(key.software().hashCode());
    }

    @Override
    public void record(SuspicionReport report) {
        long decidedAtMillis = clock.millis();
        scheduler.after(
                Duration.ofMillis(random.nextInt(WRITE_DELAY_MILLIS)),
                () -> write(report, decidedAtMillis, MAXIMUM_WRITES));
    }

    private void write(SuspicionReport report, long decidedAtMillis, int writesLeft) {
        String key = keyOf(report.key());
        if (recorded.containsKey(key) || recorded.size() >= MAXIMUM_RECORDS || writesLeft == 0) {
            return;
        }
        byte[] value = QuarantineCodec.encodeRecord(report, decidedAtMillis);
        Runnable retry =
                () ->
                        scheduler.after(
                                RETRY_DELAY, () -> write(report, decidedAtMillis, writesLeft - 1));
        Duration age = Duration.ofMillis(clock.millis() - decidedAtMillis);
        Duration remaining =
                QuarantineTimes.QUARANTINE
                        .minus(report.quarantinedAge().getOrElse(Duration.ZERO))
                        .minus(age);
        if (!remaining.isPositive()) {
            return;
        }
        service.grantLease(remaining).thenAccept(lease -> write(key, value, lease, retry));
    }

    private void write(String key, byte[] value, Either<Failure, Long> lease, Runnable retry) {
        if (lease.isLeft()) {
            retry.run();
            return;
        }
        service.write(
                        Vector.of(new KeyValueService.Precondition(key, 0)),
                        Vector.of(new KeyValueService.Put(key, value, lease.get())),
                        Vector.empty())
                .thenAccept(result -> onWritten(key, result, retry));
    }

    private void onWritten(
            String key, Either<Failure, KeyValueService.WriteResult> result, Runnable retry) {
        if (result.isLeft()) {
            retry.run();
            return;
        }
        LOG.event("recorded").with("key", key).with("result", result.get()).info();
    }

    @Override
    public void remove(SuspicionKey key) {
        if (recorded.containsKey(keyOf(key))) {
            service.write(Vector.empty(), Vector.empty(), Vector.of(keyOf(key)))
                    .thenAccept(
                            result ->
                                    LOG.event("record_removed")
                                            .with("key", keyOf(key))
                                            .with("result", result)
                                            .info());
        }
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        Set<String> listed = listing.items().map(KeyValueService.Item::key).toJavaSet();
        for (String key : recorded.keySet()) {
            if (!listed.contains(key)) {
                onRemoved(key);
            }
        }
        listing.items().forEach(this::read);
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) -> read(item);
            case KeyValueService.Change.Removed(String key, long _) -> onRemoved(key);
        }
    }

    /** Writes a record again whose lease has ended, as leases do in an outage of the service. */
    private void onRemoved(String key) {
        Option<SuspicionKey> suspicion = recorded.remove(key);
        if (suspicion != null && suspicion.isDefined()) {
            scheduler.after(
                    CLEARING_TIME, () -> quarantined.apply(suspicion.get()).forEach(this::record));
        }
    }

    private void read(KeyValueService.Item item) {
        recorded.putIfAbsent(item.key(), Option.none());
        SuspicionReport report;
        try {
            report = QuarantineCodec.decodeRecord(item.value(), clock.millis());
        } catch (IllegalArgumentException e) {
            LOG.event("record_malformed").with("key", item.key()).with("reason", e).warn();
            return;
        }
        recorded.put(item.key(), Option.some(report.key()));
        listener.accept(report);
    }
}
