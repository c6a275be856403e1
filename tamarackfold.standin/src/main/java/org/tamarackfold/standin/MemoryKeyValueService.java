package org.tamarackfold.standin;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.errors.FailureCode;
import org.tamarackfold.errors.Party;
import org.tamarackfold.errors.Step;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.time.Scheduler;

/**
 * In-memory key-value service that can simulate outages, lost responses and delayed writes. Its
 * data is accessed on the thread of its scheduler only.
 */
public final class MemoryKeyValueService implements KeyValueService {
    private static final Duration RESPONSE_DELAY = Duration.ofMillis(4);

    private record StoredValue(byte[] value, long revision, long lease) {}

    private record Watch(
            String prefix,
            long afterRevision,
            CompletableFuture<Either<Failure, WatchResult>> result) {}

    private final Scheduler scheduler;
    private final TreeMap<String, StoredValue> items = new TreeMap<>();
    private final List<Change> allChanges = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Long, Long> leaseExpiries = new HashMap<>();
    private final Map<Long, Duration> leaseDurations = new HashMap<>();
    private long revision = 1;
    private long nextLeaseId = 1;
    private boolean down;
    private boolean losingResponses;
    private Duration writeDelay = Duration.ZERO;
    private long calls;

    /** Creates an empty service without faults. */
    public MemoryKeyValueService(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Starts or ends an outage, during which every call fails without effect. Writes that were
     * delayed before it still take effect.
     */
    public void setDown(boolean value) {
        down = value;
    }

    /** Returns the number of calls received so far, including failed ones. */
    public long calls() {
        return calls;
    }

    /** Sets whether the responses to writes are lost; the writes themselves take effect. */
    public void setLosingResponses(boolean value) {
        losingResponses = value;
    }

    /** Delays the effect of writes, whose responses are lost meanwhile; zero ends the delay. */
    public void setWriteDelay(Duration value) {
        writeDelay = value;
    }

    /** Ends the pending watches with an exception or error instead of a result. */
    public void failWatches(Throwable error) {
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(watch -> watch.result().completeExceptionally(error));
    }

    private <T> CompletableFuture<Either<Failure, T>> respond(
            java.util.function.Supplier<Either<Failure, T>> operation) {
        calls++;
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        scheduler.after(
                RESPONSE_DELAY,
                () -> {
                    expireLeases();
                    result.complete(down ? Either.left(outage()) : operation.get());
                });
        return result;
    }

    private static Failure outage() {
        return Failure.notRun(
                FailureCode.SERVICE_UNAVAILABLE,
                Step.CONNECT,
                new Party.KeyValueService(),
                "service is down");
    }

    private void expireLeases() {
        long nowNanos = scheduler.nanoTime();
        Iterator<Map.Entry<Long, Long>> leases = leaseExpiries.entrySet().iterator();
        while (leases.hasNext()) {
            Map.Entry<Long, Long> lease = leases.next();
            if (lease.getValue() - nowNanos < 0) {
                leases.remove();
                removeKeysOf(lease.getKey());
            }
        }
    }

    private void removeKeysOf(long lease) {
        List<String> keys =
                items.entrySet().stream()
                        .filter(entry -> entry.getValue().lease() == lease)
                        .map(Map.Entry::getKey)
                        .toList();
        keys.forEach(this::remove);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            publish(new Change.Removed(key, ++revision));
        }
    }

    private void publish(Change change) {
        allChanges.add(change);
        List<Watch> ready =
                watches.stream().filter(watch -> key(change).startsWith(watch.prefix())).toList();
        watches.removeAll(ready);
        ready.forEach(watch -> scheduler.after(RESPONSE_DELAY, () -> complete(watch)));
    }

    private static String key(Change change) {
        return switch (change) {
            case Change.Written(Item item) -> item.key();
            case Change.Removed(String key, long _) -> key;
        };
    }

    private static long revisionOf(Change change) {
        return switch (change) {
            case Change.Written(Item item) -> item.revision();
            case Change.Removed(String _, long removedAt) -> removedAt;
        };
    }

    private void complete(Watch watch) {
        Vector<Change> changes =
                Vector.ofAll(allChanges)
                        .filter(change -> revisionOf(change) > watch.afterRevision())
                        .filter(change -> key(change).startsWith(watch.prefix()));
        watch.result()
                .complete(
                        down
                                ? Either.left(outage())
                                : Either.right(new WatchResult.Changes(changes, revision)));
    }

    @Override
    public CompletableFuture<Either<Failure, Option<Item>>> read(String key) {
        return respond(
                () -> Either.right(Option.of(items.get(key)).map(stored -> item(key, stored))));
    }

    private static Item item(String key, StoredValue stored) {
        return new Item(key, stored.value(), stored.revision());
    }

    @Override
    public CompletableFuture<Either<Failure, Listing>> list(String prefix) {
        return respond(
                () ->
                        Either.right(
                                new Listing(
                                        Vector.ofAll(items.entrySet())
                                                .filter(entry -> entry.getKey().startsWith(prefix))
                                                .map(
                                                        entry ->
                                                                item(
                                                                        entry.getKey(),
                                                                        entry.getValue())),
                                        revision)));
    }

    @Override
    public CompletableFuture<Either<Failure, WatchResult>> watch(
            String prefix, long afterRevision, Duration wait) {
        calls++;
        Watch watch = new Watch(prefix, afterRevision, new CompletableFuture<>());
        scheduler.after(RESPONSE_DELAY, () -> startWatch(watch, wait));
        return watch.result();
    }

    private void startWatch(Watch watch, Duration wait) {
        boolean ready =
                down
                        || allChanges.stream()
                                .anyMatch(
                                        change ->
                                                revisionOf(change) > watch.afterRevision()
                                                        && key(change).startsWith(watch.prefix()));
        if (ready) {
            complete(watch);
            return;
        }
        watches.add(watch);
        scheduler.after(
                wait,
                () -> {
                    if (watches.remove(watch)) {
                        complete(watch);
                    }
                });
    }

    @Override
    public CompletableFuture<Either<Failure, WriteResult>> write(
            Seq<Precondition> preconditions, Seq<Put> puts, Seq<String> removals) {
        return respond(
                () -> {
                    if (!writeDelay.isZero()) {
                        scheduler.after(writeDelay, () -> apply(preconditions, puts, removals));
                        return Either.left(lostResponse());
                    }
                    WriteResult result = apply(preconditions, puts, removals);
                    return losingResponses ? Either.left(lostResponse()) : Either.right(result);
                });
    }

    private static Failure lostResponse() {
        return Failure.unknown(
                FailureCode.SERVICE_UNAVAILABLE,
                Step.CONNECT,
                new Party.KeyValueService(),
                "response lost");
    }

    private WriteResult apply(
            Seq<Precondition> preconditions, Seq<Put> puts, Seq<String> removals) {
        boolean preconditionsHold =
                preconditions.forAll(
                        precondition ->
                                Option.of(items.get(precondition.key()))
                                                .map(StoredValue::revision)
                                                .getOrElse(0L)
                                        == precondition.revision());
        if (!preconditionsHold) {
            return new WriteResult.Conflict();
        }
        if (puts.exists(put -> put.lease() != 0 && !leaseExpiries.containsKey(put.lease()))) {
            return new WriteResult.LeaseEnded();
        }
        revision++;
        for (Put put : puts) {
            items.put(put.key(), new StoredValue(put.value(), revision, put.lease()));
            publish(new Change.Written(new Item(put.key(), put.value(), revision)));
        }
        removals.forEach(this::remove);
        return new WriteResult.Written(revision);
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> grantLease(Duration duration) {
        return respond(
                () -> {
                    long lease = nextLeaseId++;
                    leaseDurations.put(lease, duration);
                    leaseExpiries.put(lease, scheduler.nanoTime() + duration.toNanos());
                    return Either.right(lease);
                });
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> renewLease(long lease) {
        return respond(
                () -> {
                    if (!leaseExpiries.containsKey(lease)) {
                        return Either.right(false);
                    }
                    long expiry = scheduler.nanoTime() + leaseDurations.get(lease).toNanos();
                    leaseExpiries.put(lease, expiry);
                    return Either.right(true);
                });
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> endLease(long lease) {
        return respond(
                () -> {
                    boolean known = leaseExpiries.remove(lease) != null;
                    removeKeysOf(lease);
                    return Either.right(known);
                });
    }
}
