package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * Decides which source a follower asks, which replies it takes, when it watches the service itself
 * and when it returns to a source. Thread-safe.
 *
 * <p>An outage of the service is reported to the listeners of a follower if it was out of reach of
 * all sources since the follower had its last confirmation: after an outage, listeners hold back
 * removals, also when the outage was over before the follower asked again.
 */
final class FollowingPolicy {
    /** Age of the confirmation of a source from which the follower asks the other one. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(1_200);

    /** Age of the confirmation of the other source from which the follower watches itself. */
    static final Duration MAXIMUM_AGE_OF_OTHER = Duration.ofMillis(1_500);

    /** Mean pause between two questions; the pauses differ by up to a fifth. */
    private static final Duration ASK_INTERVAL = Duration.ofMillis(250);

    private static final double INTERVAL_JITTER = 0.2;

    /** Current replies in a row after which a follower that watches itself follows again. */
    private static final int CURRENT_REPLIES_TO_RETURN = 3;

    /**
     * A question to a source.
     *
     * @param afterRevision the revision that the follower knows
     * @param maximumAge the age of the confirmation up to which the reply is taken
     */
    record Question(
            long afterRevision, Duration maximumAge, long sentAtNanos, long receivedAtNanos) {}

    /** What a reply is worth to the follower. */
    sealed interface Verdict {
        /**
         * The reply is current.
         *
         * @param changes the changes after the known revision, in order
         * @param asOf the revision up to which they are complete
         * @param sentAtNanos when the question was sent
         * @param confirmedAtNanos when the service confirmed that, or a little before
         */
        record Current(
                Vector<KeyValueService.Change> changes,
                long asOf,
                long sentAtNanos,
                long confirmedAtNanos)
                implements Verdict {}

        /** The source is current, but its log does not reach back. */
        record NotInLog() implements Verdict {}

        /** The service was out of reach of the source since the last confirmation. */
        record Outage() implements Verdict {}

        /** The reply is too old. */
        record Stale(String reason) implements Verdict {}
    }

    private final TableLock lock = new TableLock(LockRank.CHANGES);
    private final HostId self;
    private final RandomGenerator random;
    private Option<HostId> preferred = Option.none();
    private boolean watchesItself;
    private Option<HostId> probed = Option.none();
    private int currentReplies;
    private Option<Long> lastAskedNanos = Option.none();

    /** Outages that ended before this time are known to the listeners, or did not reach them. */
    private Option<Long> outagesKnownUntilNanos = Option.none();

    /** Creates the policy of a host; {@code random} spreads the questions over time. */
    FollowingPolicy(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    boolean watchesItself() {
        return lock.withLock(() -> watchesItself);
    }

    /**
     * Returns the sources in the order in which they are asked: the one that answered last, then
     * the others. Before the first answer, followers are spread over the sources by hash.
     */
    Vector<EntryHost> order(Vector<EntryHost> sources) {
        return lock.withLock(() -> sources.sortBy(source -> rank(source.host(), preferred)));
    }

    private long rank(HostId source, Option<HostId> first) {
        return first.contains(source)
                ? Long.MIN_VALUE
                : RelaySources.hash(self.value(), source.value());
    }

    /** Returns the pause before the next question, and counts it as asked after that pause. */
    Duration pauseBeforeAsking(long nowNanos) {
        return lock.withLock(
                () -> {
                    double jitter = 1 + INTERVAL_JITTER * (2 * random.nextDouble() - 1);
                    long interval = Math.round(ASK_INTERVAL.toNanos() * jitter);
                    long pause =
                            lastAskedNanos
                                    .map(asked -> Math.max(0, asked + interval - nowNanos))
                                    .getOrElse(0L);
                    lastAskedNanos = Option.some(nowNanos + pause);
                    return Duration.ofNanos(pause);
                });
    }

    /** Judges the reply of a source. */
    Verdict judge(ChangesReply reply, Question question) {
        return switch (reply) {
            case ChangesReply.NotStarted() -> new Verdict.Stale("source has just started");
            case ChangesReply.Unavailable(ChangesReply.Confirmation confirmation) ->
                    flaw(confirmation, question).getOrElse(new Verdict.NotInLog());
            case ChangesReply.Changes(var changes, long asOf, var confirmation) ->
                    flaw(confirmation, question)
                            .getOrElse(() -> current(changes, asOf, confirmation.age(), question));
        };
    }

    private Option<Verdict> flaw(ChangesReply.Confirmation confirmation, Question question) {
        if (confirmation.outageAge().exists(age -> isUnknownOutage(age, question))) {
            return Option.some(new Verdict.Outage());
        }
        return Option.when(
                confirmation.age().compareTo(question.maximumAge()) > 0,
                () ->
                        new Verdict.Stale(
                                "confirmation is " + confirmation.age().toMillis() + " ms old"));
    }

    /** Counts the way of the reply as time after the outage, so that no outage is missed. */
    private boolean isUnknownOutage(Duration age, Question question) {
        long latestEnd = question.receivedAtNanos() - age.toNanos();
        return lock.withLock(() -> outagesKnownUntilNanos).exists(known -> latestEnd - known > 0);
    }

    /** Leaves out what the follower knows; a source may be behind one that was asked before. */
    private static Verdict current(
            Vector<KeyValueService.Change> changes, long asOf, Duration age, Question question) {
        return new Verdict.Current(
                changes.filter(change -> change.revision() > question.afterRevision()),
                Math.max(asOf, question.afterRevision()),
                question.sentAtNanos(),
                question.sentAtNanos() - age.toNanos());
    }

    /** Called when a reply was taken; returns whether the source is another one than before. */
    boolean onTaken(HostId source, long sentAtNanos) {
        return lock.withLock(
                () -> {
                    boolean changed = watchesItself || !preferred.contains(source);
                    preferred = Option.some(source);
                    watchesItself = false;
                    outagesKnownUntilNanos = Option.some(sentAtNanos);
                    return changed;
                });
    }

    /**
     * Called when the service has answered this host, or the listeners of this host learn that it
     * is out of reach.
     */
    void onOutagesKnown(long untilNanos) {
        lock.run(() -> outagesKnownUntilNanos = Option.some(untilNanos));
    }

    /** Called when no source has a current reply; returns whether the host followed until now. */
    boolean startWatching() {
        return lock.withLock(
                () -> {
                    boolean followed = !watchesItself;
                    watchesItself = true;
                    currentReplies = 0;
                    return followed;
                });
    }

    /** Returns the source that is asked whether it is current again. */
    Option<EntryHost> sourceToProbe(Vector<EntryHost> sources) {
        return lock.withLock(
                () -> {
                    Vector<EntryHost> ordered =
                            sources.sortBy(source -> rank(source.host(), probed));
                    return ordered.headOption();
                });
    }

    /**
     * Called with the result of such a question. A source that is not current is followed by the
     * other one at the next question.
     *
     * @param others the sources except the one that was asked
     * @return whether the host follows the source from now on
     */
    boolean onProbed(EntryHost source, boolean isCurrent, Vector<EntryHost> others) {
        return lock.withLock(
                () -> {
                    currentReplies =
                            !isCurrent
                                    ? 0
                                    : probed.contains(source.host()) ? currentReplies + 1 : 1;
                    probed =
                            isCurrent
                                    ? Option.some(source.host())
                                    : others.headOption().map(EntryHost::host);
                    boolean returns = watchesItself && currentReplies >= CURRENT_REPLIES_TO_RETURN;
                    if (returns) {
                        preferred = Option.some(source.host());
                        watchesItself = false;
                    }
                    return returns;
                });
    }
}
