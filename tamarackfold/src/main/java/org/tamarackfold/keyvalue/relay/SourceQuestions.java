package org.tamarackfold.keyvalue.relay;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tamarackfold.keyvalue.relay.FollowingPolicy.Question;
import org.tamarackfold.keyvalue.relay.FollowingPolicy.Verdict;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.time.Scheduler;

/**
 * Asks sources for changes and has the policy judge their replies. Each question has a verdict
 * after at most 300 ms, also after an unexpected error.
 */
final class SourceQuestions {
    /** Time after which the reply of a source is not awaited any longer. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(300);

    private final ChangeSources sources;
    private final FollowingPolicy policy;
    private final Scheduler scheduler;

    SourceQuestions(ChangeSources sources, FollowingPolicy policy, Scheduler scheduler) {
        this.sources = sources;
        this.policy = policy;
        this.scheduler = scheduler;
    }

    /**
     * Asks a source for the changes after a revision.
     *
     * @param maximumAge the age of its confirmation up to which the reply is taken
     */
    void ask(
            EntryHost source,
            long afterRevision,
            Duration maximumAge,
            Consumer<Verdict> onVerdict) {
        long sentAtNanos = scheduler.nanoTime();
        CompletableFuture<Either<String, ChangesReply>> reply = new CompletableFuture<>();
        reply.thenAccept(
                received ->
                        onVerdict.accept(
                                judge(
                                        received,
                                        new Question(
                                                afterRevision,
                                                maximumAge,
                                                sentAtNanos,
                                                scheduler.nanoTime()))));
        scheduler.after(REPLY_TIMEOUT, () -> reply.complete(Either.left("no reply in time")));
        send(source, afterRevision).thenAccept(reply::complete);
    }

    private CompletableFuture<Either<String, ChangesReply>> send(
            EntryHost source, long afterRevision) {
        CompletableFuture<Either<String, ChangesReply>> reply;
        try {
            reply = sources.ask(source, afterRevision, REPLY_TIMEOUT);
        } catch (RuntimeException | Error e) {
            reply = CompletableFuture.failedFuture(e);
        }
        return reply.exceptionally(error -> Either.left("unexpected error: " + error));
    }

    /**
     * Takes a reply that cannot be judged for one that is too old: without a verdict, following
     * would end for good.
     */
    private Verdict judge(Either<String, ChangesReply> reply, Question question) {
        try {
            return reply.isLeft()
                    ? new Verdict.Stale(reply.getLeft())
                    : policy.judge(reply.get(), question);
        } catch (RuntimeException | Error e) {
            return new Verdict.Stale("unexpected error: " + e);
        }
    }
}
