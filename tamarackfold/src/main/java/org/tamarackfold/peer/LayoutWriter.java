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

    /** Pause before an unanswered write is repeated; doubles with each further one. */
    private static final long FIRST_RETRY_MILLIS = 200;

    /** Longest pause before an unanswered write is repeated; every call to the service counts. */
    private static final long LONGEST_RETRY_MILLIS = 800;

    private final KeyValueService service;
    private final SharedStateCodec codec;
    private final LayoutBook layouts;
    private final Scheduler scheduler;
    private final Consumer<LayoutBook.Stored> onStored;

    /**
     * Creates a writer.
     *
     * @param onStored takes over a layout that was written or read; it must offer it to the book
     */
    LayoutWriter(
            KeyValueService service,
            SharedStateCodec codec,
            LayoutBook layouts,
            Scheduler scheduler,
            Consumer<LayoutBook.Stored> onStored) {
        this.service = service;
        this.codec = codec;
        this.layouts = layouts;
        this.scheduler = scheduler;
        this.onStored = onStored;
    }

    /** Writes the layout of a new fleet, unless another host has written one. */
    CompletableFuture<Void> writeFirst(Layout layout) {
        return swap(0, layout);
    }

    /**
     * Puts views in force, again on the latest layout where another host has changed other shards
     * meanwhile: what was prepared holds for as long as the epoch of the shard stays the same.
     */
    CompletableFuture<Void> publish(LayoutBook.Stored stored, Vector<View> views) {
        return swap(stored.revision(), stored.layout().with(views))
                .thenCompose(
                        unused -> {
                            LayoutBook.Stored latest = layouts.current().get();
                            Vector<View> open =
                                    views.filter(view -> follows(latest.layout(), view));
                            return open.isEmpty()
                                    ? CompletableFuture.completedFuture(null)
                                    : publish(latest, open);
                        });
    }

    private static boolean follows(Layout layout, View next) {
        return layout.view(next.shard()).epoch().next().equals(next.epoch());
    }

    /**
     * Replaces the layout. The future completes once the change was made or can no longer be made,
     * with the latest layout in the book: a write without answer may still take effect seconds
     * later, so it is repeated until the service answers.
     */
    private CompletableFuture<Void> swap(long expectedRevision, Layout layout) {
        return swap(expectedRevision, layout, FIRST_RETRY_MILLIS);
    }

    private CompletableFuture<Void> swap(long expectedRevision, Layout layout, long retryMillis) {
        return service.write(
                        Vector.of(
                                new KeyValueService.Expectation(
                                        SharedKeys.LAYOUT, expectedRevision)),
                        Vector.of(
                                new KeyValueService.Put(
                                        SharedKeys.LAYOUT, codec.encode(layout), 0)),
                        Vector.empty())
                .thenCompose(result -> swapped(expectedRevision, layout, retryMillis, result));
    }

    private CompletableFuture<Void> swapped(
            long expectedRevision,
            Layout layout,
            long retryMillis,
            Either<Failure, KeyValueService.WriteResult> result) {
        if (result.isLeft()) {
            LOG.event("layout_write_unanswered").with("reason", result.getLeft()).warn();
            long next = Math.min(retryMillis * 2, LONGEST_RETRY_MILLIS);
            return later(retryMillis, () -> swap(expectedRevision, layout, next));
        }
        boolean written = result.get() instanceof KeyValueService.WriteResult.Written;
        LOG.event("layout_write")
                .with("expected_revision", expectedRevision)
                .with("written", written)
                .info();
        if (result.get() instanceof KeyValueService.WriteResult.Written(long revision)) {
            onStored.accept(new LayoutBook.Stored(layout, revision));
            return CompletableFuture.completedFuture(null);
        }
        return readBack();
    }

    private CompletableFuture<Void> readBack() {
        return service.read(SharedKeys.LAYOUT)
                .thenCompose(
                        result -> {
                            Option<LayoutBook.Stored> stored =
                                    result.getOrElse(Option.none()).flatMap(this::decode);
                            if (stored.isEmpty()) {
                                return later(LONGEST_RETRY_MILLIS, this::readBack);
                            }
                            onStored.accept(stored.get());
                            return CompletableFuture.completedFuture(null);
                        });
    }

    private Option<LayoutBook.Stored> decode(KeyValueService.Item item) {
        try {
            return Option.some(LayoutBook.Stored.decode(item, codec));
        } catch (IllegalArgumentException e) {
            LOG.event("layout_malformed")
                    .with("revision", item.revision())
                    .with("reason", e.getMessage())
                    .warn();
            return Option.none();
        }
    }

    private CompletableFuture<Void> later(long millis, Supplier<CompletableFuture<Void>> step) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.after(Duration.ofMillis(millis), () -> step.get().thenAccept(done::complete));
        return done;
    }
}
