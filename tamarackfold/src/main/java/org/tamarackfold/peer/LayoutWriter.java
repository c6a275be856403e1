package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.time.Scheduler;

/** Writes the layout to the key-value service by compare-and-swap. */
final class LayoutWriter {
    private static final StructuredLog LOG = StructuredLog.of("layout");

    /** Delay before the first retry of a write without a response; doubles with each retry. */
    private static final long INITIAL_BACKOFF_MILLIS = 200;

    /**
     * Longest delay before a write without a response is retried. The delay grows to limit the
     * number of calls to the key-value service.
     */
    private static final long MAXIMUM_BACKOFF_MILLIS = 800;

    private final KeyValueService service;
    private final SharedStateCodec codec;
    private final LayoutHolder layouts;
    private final Scheduler scheduler;
    private final Consumer<LayoutHolder.VersionedLayout> onLayout;

    /**
     * Creates a writer.
     *
     * @param onLayout receives each layout that was written or read; must pass it to {@code
     *     layouts} before it returns
     */
    LayoutWriter(
            KeyValueService service,
            SharedStateCodec codec,
            LayoutHolder layouts,
            Scheduler scheduler,
            Consumer<LayoutHolder.VersionedLayout> onLayout) {
        this.service = service;
        this.codec = codec;
        this.layouts = layouts;
        this.scheduler = scheduler;
        this.onLayout = onLayout;
    }

    /** Writes the initial layout, unless another host has already written one. */
    CompletableFuture<Void> writeInitial(Layout layout) {
        return compareAndSwap(0, layout);
    }

    /**
     * Replaces the views of shards in the layout. When another host has replaced the layout first,
     * the views whose shards it did not change are written again on top of its layout: the records
     * transferred for a view are valid as long as the epoch of the shard has not changed.
     */
    CompletableFuture<Void> publish(LayoutHolder.VersionedLayout versioned, Vector<View> views) {
        return compareAndSwap(versioned.revision(), versioned.layout().with(views))
                .thenCompose(
                        unused -> {
                            LayoutHolder.VersionedLayout latest = layouts.current().get();
                            Vector<View> unwritten =
                                    views.filter(view -> isNextView(latest.layout(), view));
                            return unwritten.isEmpty()
                                    ? CompletableFuture.completedFuture(null)
                                    : publish(latest, unwritten);
                        });
    }

    private static boolean isNextView(Layout layout, View view) {
        return layout.view(view.shard()).epoch().next().equals(view.epoch());
    }

    /**
     * Replaces the layout if it still has the expected revision. The future completes when the
     * write has succeeded or can no longer succeed, after the latest layout was passed to {@code
     * onLayout}. A write without a response may still take effect seconds later, so it is retried
     * until the service responds.
     */
    private CompletableFuture<Void> compareAndSwap(long expectedRevision, Layout layout) {
        return compareAndSwap(expectedRevision, layout, INITIAL_BACKOFF_MILLIS);
    }

    private CompletableFuture<Void> compareAndSwap(
            long expectedRevision, Layout layout, long backoffMillis) {
        return service.write(
                        Vector.of(
                                new KeyValueService.Precondition(
                                        SharedKeys.LAYOUT, expectedRevision)),
                        Vector.of(
                                new KeyValueService.Put(
                                        SharedKeys.LAYOUT, codec.encode(layout), 0)),
                        Vector.empty())
                .thenCompose(
                        result -> onWriteResult(expectedRevision, layout, backoffMillis, result));
    }

    private CompletableFuture<Void> onWriteResult(
            long expectedRevision,
            Layout layout,
            long backoffMillis,
            Either<Failure, KeyValueService.WriteResult> result) {
        if (result.isLeft()) {
            LOG.event("layout_write_unanswered").with("reason", result.getLeft()).warn();
            long nextBackoffMillis = Math.min(backoffMillis * 2, MAXIMUM_BACKOFF_MILLIS);
            return runDelayed(
                    backoffMillis,
                    () -> compareAndSwap(expectedRevision, layout, nextBackoffMillis));
        }
        boolean written = result.get() instanceof KeyValueService.WriteResult.Written;
        LOG.event("layout_write")
                .with("expected_revision", expectedRevision)
                .with("written", written)
                .info();
        if (result.get() instanceof KeyValueService.WriteResult.Written(long revision)) {
            onLayout.accept(new LayoutHolder.VersionedLayout(layout, revision));
            return CompletableFuture.completedFuture(null);
        }
        return readLatest();
    }

    private CompletableFuture<Void> readLatest() {
        return service.read(SharedKeys.LAYOUT)
                .thenCompose(
                        result -> {
                            Option<LayoutHolder.VersionedLayout> versioned =
                                    result.getOrElse(Option.none()).flatMap(this::decode);
                            if (versioned.isEmpty()) {
                                return runDelayed(MAXIMUM_BACKOFF_MILLIS, this::readLatest);
                            }
                            onLayout.accept(versioned.get());
                            return CompletableFuture.completedFuture(null);
                        });
    }

    private Option<LayoutHolder.VersionedLayout> decode(KeyValueService.Item item) {
        try {
            return Option.some(LayoutHolder.VersionedLayout.decode(item, codec));
        } catch (IllegalArgumentException e) {
            LOG.event("layout_malformed")
                    .with("revision", item.revision())
                    .with("reason", e.getMessage())
                    .warn();
            return Option.none();
        }
    }

    private CompletableFuture<Void> runDelayed(
            long delayMillis, Supplier<CompletableFuture<Void>> action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.after(
                Duration.ofMillis(delayMillis), () -> action.get().thenAccept(done::complete));
        return done;
    }
}
