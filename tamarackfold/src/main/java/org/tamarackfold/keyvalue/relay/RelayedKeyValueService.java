package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.errors.FailureCode;
import org.tamarackfold.errors.Party;
import org.tamarackfold.errors.Step;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.time.Durations;
import org.tamarackfold.time.Scheduler;

/**
 * The key-value service as one watcher of all keys sees it: a watch is answered by a source while
 * this host follows one, and by the service otherwise. A switch thus never changes what the watcher
 * and its listeners see. All other operations, and watches of single prefixes, go to the service.
 */
public final class RelayedKeyValueService implements KeyValueService {
    private static final StructuredLog LOG = StructuredLog.of("keyvalue");

    /**
     * Longest time between two confirmations of a source. Followers ask the other source from 1.2 s
     * on, so that the pause after changes counts as part of it.
     */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(1);

    /** Shortest wait of a watch, also after a long pause. */
    private static final Duration SHORTEST_WAIT = Duration.ofMillis(250);

    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    private final KeyValueService service;
    private final SourceQuestions questions;
    private final Supplier<WatchRole> role;
    private final Consumer<String> onSwitched;
    private final Scheduler scheduler;
    private final FollowingPolicy policy;
    private final ChangeLog log = new ChangeLog();
    private final AtomicBoolean probing = new AtomicBoolean();
    private volatile Option<PendingWatch> current = Option.none();

    private RelayedKeyValueService(Builder builder) {
        service = builder.service;
        role = builder.role;
        onSwitched = builder.onSwitched;
        scheduler = builder.scheduler;
        policy = new FollowingPolicy(builder.self, builder.random);
        questions = new SourceQuestions(builder.sources, policy, scheduler);
    }

    /** Returns a builder without values, all of which are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the changes after a revision for another host. */
    public ChangesReply changesSince(long revision) {
        return log.since(revision, scheduler.nanoTime());
    }

    /** Returns when the service last confirmed the state of this host, directly or by a source. */
    public Option<Long> confirmedAtNanos() {
        return log.confirmedAtNanos();
    }

    /** Returns whether this host asks sources for changes at present. */
    public boolean isFollowing() {
        return role.get() instanceof WatchRole.Follower && !policy.watchesItself();
    }

    @Override
    public CompletableFuture<Either<Failure, Listing>> list(String prefix) {
        long sentAtNanos = scheduler.nanoTime();
        CompletableFuture<Either<Failure, Listing>> listing = contained(() -> service.list(prefix));
        return prefix.isEmpty()
                ? listing.thenApply(result -> onListResult(result, sentAtNanos))
                : listing;
    }

    private Either<Failure, Listing> onListResult(
            Either<Failure, Listing> result, long sentAtNanos) {
        if (result.isRight()) {
            log.onListing(result.get().asOf(), sentAtNanos);
            policy.onOutagesKnown(scheduler.nanoTime());
        } else {
            onOutageReported();
        }
        return result;
    }

    private void onOutageReported() {
        log.onOutage();
        policy.onOutagesKnown(scheduler.nanoTime());
    }

    @Override
    public CompletableFuture<Either<Failure, WatchResult>> watch(
            String prefix, long afterRevision, Duration wait) {
        if (!prefix.isEmpty()) {
            return service.watch(prefix, afterRevision, wait);
        }
        PendingWatch watch = new PendingWatch(afterRevision, wait, new CompletableFuture<>());
        current = Option.some(watch);
        start(watch);
        return watch.result();
    }

    private void start(PendingWatch watch) {
        switch (role.get()) {
            case WatchRole.Watcher() -> watchService(watch, watch.longPoll());
            case WatchRole.Source() -> watchService(watch, confirmingWait(watch));
            case WatchRole.Follower(_) -> {
                if (policy.watchesItself()) {
                    startProbing();
                    watchService(watch, confirmingWait(watch));
                } else {
                    Duration pause = policy.pauseBeforeAsking(scheduler.nanoTime());
                    scheduler.after(pause, () -> runContained(watch, () -> askSources(watch)));
                }
            }
        }
    }

    /** Shortens a watch so that its end confirms the state of this host in time. */
    private Duration confirmingWait(PendingWatch watch) {
        long nowNanos = scheduler.nanoTime();
        Duration sinceConfirmed =
                Duration.ofNanos(nowNanos - log.confirmedAtNanos().getOrElse(nowNanos));
        Duration remaining = CONFIRMATION_INTERVAL.minus(sinceConfirmed);
        return Durations.min(watch.longPoll(), Durations.max(SHORTEST_WAIT, remaining));
    }

    /** Lets the service answer a watch when an unexpected error has kept the sources from it. */
    private void runContained(PendingWatch watch, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.event("following_failed").with("reason", e).warn();
            policy.startWatching();
            startProbing();
            watchService(watch, confirmingWait(watch));
        }
    }

    private void watchService(PendingWatch watch, Duration wait) {
        long sentAtNanos = scheduler.nanoTime();
        contained(() -> service.watch("", watch.afterRevision(), wait))
                .thenAccept(result -> onServiceResult(watch, wait, sentAtNanos, result));
    }

    /** Turns an unexpected exception or error into a failure of the request. */
    private static <T> CompletableFuture<Either<Failure, T>> contained(
            Supplier<CompletableFuture<Either<Failure, T>>> request) {
        CompletableFuture<Either<Failure, T>> response;
        try {
            response = request.get();
        } catch (RuntimeException | Error e) {
            response = CompletableFuture.failedFuture(e);
        }
        return response.exceptionally(error -> Either.left(failure("unexpected error: " + error)));
    }

    private static Failure failure(String reason) {
        return Failure.unknown(
                FailureCode.SERVICE_UNAVAILABLE, Step.CONNECT, new Party.KeyValueService(), reason);
    }

    /** Fails a watch whose result cannot be applied: without a result, watching would end. */
    private void onServiceResult(
            PendingWatch watch,
            Duration wait,
            long sentAtNanos,
            Either<Failure, WatchResult> result) {
        if (watch.isDone()) {
            return;
        }
        try {
            if (result.isRight()) {
                onServiceAnswer(watch, wait, sentAtNanos, result.get());
            } else {
                onServiceFailure(watch, result.getLeft());
            }
        } catch (RuntimeException | Error e) {
            watch.result().complete(Either.left(failure("unexpected error: " + e)));
        }
    }

    private void onServiceAnswer(
            PendingWatch watch, Duration wait, long sentAtNanos, WatchResult answer) {
        if (answer instanceof WatchResult.Changes(var changes, long asOf)) {
            // The service has answered at the end of the wait; the response may have been late.
            long confirmedAt = earlier(scheduler.nanoTime(), sentAtNanos + wait.toNanos());
            log.onChanges(watch.afterRevision(), changes, asOf, confirmedAt);
            policy.onOutagesKnown(scheduler.nanoTime());
        }
        watch.result().complete(Either.right(answer));
    }

    private static long earlier(long left, long right) {
        return left - right < 0 ? left : right;
    }

    /** The service counts as out of reach only when the sources do not reach it either. */
    private void onServiceFailure(PendingWatch watch, Failure failure) {
        if (role.get() instanceof WatchRole.Follower(Vector<EntryHost> hosts)) {
            ask(SourceRound.of(watch, policy.order(hosts), Option.some(failure)));
            return;
        }
        fail(watch, failure);
    }

    private void fail(PendingWatch watch, Failure failure) {
        onOutageReported();
        watch.result().complete(Either.left(failure));
    }

    private void askSources(PendingWatch watch) {
        if (role.get() instanceof WatchRole.Follower(Vector<EntryHost> hosts)) {
            ask(SourceRound.of(watch, policy.order(hosts), Option.none()));
            return;
        }
        start(watch);
    }

    private void ask(SourceRound round) {
        if (round.watch().isDone()) {
            return;
        }
        if (round.remaining().isEmpty()) {
            onNoneCurrent(round);
            return;
        }
        questions.ask(
                round.source(),
                round.watch().afterRevision(),
                round.maximumAge(),
                verdict -> runContained(round.watch(), () -> onVerdict(round, verdict)));
    }

    private void onVerdict(SourceRound round, FollowingPolicy.Verdict verdict) {
        switch (verdict) {
            case FollowingPolicy.Verdict.Current reply -> onCurrent(round, reply);
            case FollowingPolicy.Verdict.NotInLog() -> ask(round.next(true, false));
            case FollowingPolicy.Verdict.Outage() -> ask(round.next(false, true));
            case FollowingPolicy.Verdict.Stale(_) -> ask(round.next(false, false));
        }
    }

    private void onCurrent(SourceRound round, FollowingPolicy.Verdict.Current reply) {
        PendingWatch watch = round.watch();
        if (watch.isDone()) {
            return;
        }
        HostId source = round.source().host();
        if (policy.onTaken(source, reply.sentAtNanos())) {
            LOG.event("following").with("source", source).with("after", reply.asOf()).info();
            onSwitched.accept("source");
        }
        log.onChanges(
                watch.afterRevision(), reply.changes(), reply.asOf(), reply.confirmedAtNanos());
        watch.result()
                .complete(Either.right(new WatchResult.Changes(reply.changes(), reply.asOf())));
    }

    private void onNoneCurrent(SourceRound round) {
        if (round.failure().isDefined()) {
            fail(round.watch(), round.failure().get());
            return;
        }
        if (round.notInLog()) {
            round.watch().result().complete(Either.right(new WatchResult.ChangesUnavailable()));
            return;
        }
        if (policy.startWatching()) {
            LOG.event("watching_service")
                    .with("after", round.watch().afterRevision())
                    .with("outage", round.outage())
                    .info();
            onSwitched.accept("service");
        }
        startProbing();
        if (round.outage()) {
            fail(round.watch(), failure("out of reach of the sources"));
        } else {
            watchService(round.watch(), confirmingWait(round.watch()));
        }
    }

    private void startProbing() {
        if (probing.compareAndSet(false, true)) {
            scheduler.after(PROBE_INTERVAL, this::probe);
        }
    }

    /** Asks a source whether it is current again, once a second while this host watches itself. */
    private void probe() {
        try {
            probing.set(false);
            if (policy.watchesItself()
                    && role.get() instanceof WatchRole.Follower(Vector<EntryHost> hosts)) {
                startProbing();
                policy.sourceToProbe(hosts).forEach(source -> probe(source, hosts.remove(source)));
            }
        } catch (RuntimeException | Error e) {
            LOG.event("probe_failed").with("reason", e).warn();
        }
    }

    private void probe(EntryHost source, Vector<EntryHost> others) {
        long after = current.map(PendingWatch::afterRevision).getOrElse(0L);
        questions.ask(
                source,
                after,
                FollowingPolicy.MAXIMUM_AGE,
                verdict -> {
                    // A source whose log does not reach back is current: one listing is needed.
                    boolean isCurrent =
                            verdict instanceof FollowingPolicy.Verdict.Current
                                    || verdict instanceof FollowingPolicy.Verdict.NotInLog;
                    if (policy.onProbed(source, isCurrent, others)) {
                        LOG.event("following").with("source", source.host()).info();
                        onSwitched.accept("source");
                        current.forEach(watch -> runContained(watch, () -> askSources(watch)));
                    }
                });
    }

    @Override
    public CompletableFuture<Either<Failure, Option<Item>>> read(String key) {
        return service.read(key);
    }

    @Override
    public CompletableFuture<Either<Failure, WriteResult>> write(
            Seq<Precondition> preconditions, Seq<Put> puts, Seq<String> removals) {
        return service.write(preconditions, puts, removals);
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> grantLease(Duration duration) {
        return service.grantLease(duration);
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> renewLease(long lease) {
        return service.renewLease(lease);
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> endLease(long lease) {
        return service.endLease(lease);
    }

    /** Builder; all values are required. */
    public static final class Builder {
        private HostId self;
        private KeyValueService service;
        private ChangeSources sources;
        private Supplier<WatchRole> role;
        private Consumer<String> onSwitched;
        private Scheduler scheduler;
        private RandomGenerator random;

        private Builder() {}

        /** Sets the name of this host. */
        public Builder self(HostId value) {
            self = value;
            return this;
        }

        /** Sets the client of the service. */
        public Builder service(KeyValueService value) {
            service = value;
            return this;
        }

        /** Sets what sends the questions to sources. */
        public Builder sources(ChangeSources value) {
            sources = value;
            return this;
        }

        /** Sets the role of this host, which is read before each watch and question. */
        public Builder role(Supplier<WatchRole> value) {
            role = value;
            return this;
        }

        /** Sets the receiver of each switch, {@code source} or {@code service}. */
        public Builder onSwitched(Consumer<String> value) {
            onSwitched = value;
            return this;
        }

        /** Sets the clock and timers. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Sets the randomness that spreads the questions over time. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Creates the view of the service. */
        public RelayedKeyValueService build() {
            return new RelayedKeyValueService(this);
        }
    }
}
