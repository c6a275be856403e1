package org.tamarackfold.keyvalue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.time.Duration;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/** Keeps a key in the service for as long as this process lives. */
public final class LeasedKey {
    private static final StructuredLog LOG = StructuredLog.of("keyvalue");

    /** Renewals in the duration of a lease; two may be lost without the lease ending. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** Pause before a failed step is tried again. */
    private static final Duration RETRY = Duration.ofMillis(400);

    private final KeyValueService service;
    private final String key;
    private final byte[] value;
    private final Duration duration;
    private final Scheduler scheduler;
    private volatile long lease;
    private volatile boolean stopped;

    /** Creates the registration of a value under a key. */
    public LeasedKey(
            KeyValueService service,
            String key,
            byte[] value,
            Duration duration,
            Scheduler scheduler) {
        this.service = service;
        this.key = key;
        this.value = value;
        this.duration = duration;
        this.scheduler = scheduler;
    }

    /** Starts to register. */
    public void start() {
        if (stopped) {
            return;
        }
        service.grantLease(duration).thenAccept(this::granted);
    }

    /** Removes the key. */
    public void stop() {
        stopped = true;
        if (lease != 0) {
            service.endLease(lease);
        }
    }

    /** Writes the key again, because another host has seen it vanish. */
    public void renewKey() {
        if (!stopped && lease != 0) {
            put();
        }
    }

    private void granted(Either<Failure, Long> result) {
        if (result.isLeft()) {
            scheduler.after(RETRY, this::start);
            return;
        }
        lease = result.get();
        put();
        scheduler.after(duration.dividedBy(RENEWALS_PER_LEASE), this::renew);
    }

    private void put() {
        if (stopped) {
            return;
        }
        long current = lease;
        service.write(
                        Vector.empty(),
                        Vector.of(new KeyValueService.Put(key, value, current)),
                        Vector.empty())
                .thenAccept(result -> written(current, result));
    }

    private void written(long current, Either<Failure, KeyValueService.WriteResult> result) {
        if (result.isLeft()) {
            if (current == lease) {
                scheduler.after(RETRY, this::put);
            }
            return;
        }
        if (result.get() instanceof KeyValueService.WriteResult.LeaseEnded) {
            if (current == lease) {
                lease = 0;
                start();
            }
            return;
        }
        LOG.event("registered").with("key", key).with("lease", current).info();
    }

    private void renew() {
        if (stopped) {
            return;
        }
        service.renewLease(lease).thenAccept(this::renewed);
    }

    private void renewed(Either<Failure, Boolean> result) {
        if (result.isRight() && !result.get()) {
            LOG.event("lease_ended").with("key", key).with("lease", lease).warn();
            lease = 0;
            start();
            return;
        }
        Duration pause = result.isRight() ? duration.dividedBy(RENEWALS_PER_LEASE) : RETRY;
        scheduler.after(pause, this::renew);
    }
}
