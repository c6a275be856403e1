package org.tamarackfold.keyvalue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/**
 * Keeps a key registered while this process is alive: writes it with a lease, renews the lease, and
 * registers again when the lease has ended.
 */
public final class LeasedKey {
    private static final StructuredLog LOG = StructuredLog.of("keyvalue");

    /** Renewals per lease duration; the lease survives two lost renewals in a row. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** Delay before a failed call is retried. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    private final KeyValueService service;
    private final String key;
    private volatile byte[] value;
    private final Duration leaseDuration;
    private final Scheduler scheduler;
    private volatile long lease;
    private volatile Option<Long> leaseEndNanos = Option.none();
    private volatile boolean stopped;

    /**
     * Creates a registration that is not started.
     *
     * @param leaseDuration how long the key remains after this process has died; the lease is
     *     renewed three times within this time
     */
    public LeasedKey(
            KeyValueService service,
            String key,
            byte[] value,
            Duration leaseDuration,
            Scheduler scheduler) {
        this.service = service;
        this.key = key;
        this.value = value;
        this.leaseDuration = leaseDuration;
        this.scheduler = scheduler;
    }

    /** Starts the registration; retries until it succeeds or {@link #stop} is called. */
    public void start() {
        if (stopped) {
            return;
        }
        long sentAtNanos = scheduler.nanoTime();
        ContainedRequest.send(
                () -> service.grantLease(leaseDuration),
                result -> onLeaseGranted(sentAtNanos, result));
    }

    /**
     * Returns until when the service keeps the key at least, in ns of the scheduler; none before
     * the first lease and after a stop. It moves back when a lease has ended early. The time counts
     * from the request, because the service may have started the lease at any time after it.
     */
    public Option<Long> leaseEndNanos() {
        return stopped ? Option.none() : leaseEndNanos;
    }

    /** Ends the registration and removes the key. Does not wait for the service. */
    public void stop() {
        stopped = true;
        if (lease != 0) {
            service.endLease(lease);
        }
    }

    /** Replaces the value, also in the service if the key is registered. */
    public void replaceValue(byte[] next) {
        value = next;
        rewriteKey();
    }

    /** Writes the key again; called when a listing or watch shows that it is missing. */
    public void rewriteKey() {
        if (!stopped && lease != 0) {
            writeKey();
        }
    }

    private void onLeaseGranted(long sentAtNanos, Either<Failure, Long> result) {
        if (result.isLeft()) {
            scheduler.after(RETRY_DELAY, this::start);
            return;
        }
        lease = result.get();
        leaseEndNanos = Option.some(sentAtNanos + leaseDuration.toNanos());
        writeKey();
        scheduler.after(leaseDuration.dividedBy(RENEWALS_PER_LEASE), this::renewLease);
    }

    private void writeKey() {
        if (stopped) {
            return;
        }
        long keyLease = lease;
        ContainedRequest.send(
                () ->
                        service.write(
                                Vector.empty(),
                                Vector.of(new KeyValueService.Put(key, value, keyLease)),
                                Vector.empty()),
                result -> onKeyWritten(keyLease, result));
    }

    private void onKeyWritten(long keyLease, Either<Failure, KeyValueService.WriteResult> result) {
        if (result.isLeft()) {
            if (keyLease == lease) {
                scheduler.after(RETRY_DELAY, this::writeKey);
            }
            return;
        }
        if (result.get() instanceof KeyValueService.WriteResult.LeaseEnded) {
            if (keyLease == lease) {
                onLeaseEnded();
            }
            return;
        }
        LOG.event("registered").with("key", key).with("lease", keyLease).info();
    }

    /** Registers again; the service may have removed the key before the lease was due to end. */
    private void onLeaseEnded() {
        lease = 0;
        long nowNanos = scheduler.nanoTime();
        leaseEndNanos = leaseEndNanos.map(end -> end - nowNanos > 0 ? nowNanos : end);
        start();
    }

    private void renewLease() {
        if (stopped) {
            return;
        }
        long sentAtNanos = scheduler.nanoTime();
        ContainedRequest.send(
                () -> service.renewLease(lease), result -> onLeaseRenewed(sentAtNanos, result));
    }

    private void onLeaseRenewed(long sentAtNanos, Either<Failure, Boolean> result) {
        if (result.isRight() && !result.get()) {
            LOG.event("lease_ended").with("key", key).with("lease", lease).warn();
            onLeaseEnded();
            return;
        }
        if (result.isRight()) {
            leaseEndNanos = Option.some(sentAtNanos + leaseDuration.toNanos());
        }
        Duration delay =
                result.isRight() ? leaseDuration.dividedBy(RENEWALS_PER_LEASE) : RETRY_DELAY;
        scheduler.after(delay, this::renewLease);
    }
}
