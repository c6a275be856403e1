package org.tamarackfold.caller.quarantine;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.time.Scheduler;

/**
 * Lets all entry hosts know what one of them has found. News goes at once to the hosts that grant
 * the trials of its requests and to a few others, which pass it on; besides, each host compares
 * what it knows with a random other one every second, so that hosts which were down, frozen or cut
 * off catch up. Needs neither the key-value service nor a certain host.
 */
final class SuspicionPropagation {
    /** Delay in which the calls that break with one endpoint are gathered for one message. */
    private static final Duration GATHERING = Duration.ofMillis(10);

    /** Other hosts that are told of news; in smaller fleets all of them. */
    private static final int FANOUT = 3;

    /** Number of other hosts up to which all are told. */
    private static final int SMALL_FLEET = 8;

    /** How long something is news; by then it has reached all hosts that can be reached. */
    private static final Duration NEWS_LIFETIME = Duration.ofSeconds(3);

    /** Mean time between two messages of a host that has news. */
    private static final long NEWS_INTERVAL_MILLIS = 250;

    /** Mean time between two comparisons of a host. */
    private static final long COMPARISON_INTERVAL_MILLIS = 1_000;

    /** Largest part of an interval by which a message is sent earlier or later. */
    private static final double JITTER = 0.2;

    /** Reports in a message of news, and in one that brings another host up to date. */
    static final int MAXIMUM_NEWS = 64;

    static final int MAXIMUM_REPORTS = 128;

    private final SuspicionTable table;
    private final QuarantineChannel channel;
    private final Function<RequestFingerprint, HostId> grantingHosts;
    private final Consumer<Vector<SuspicionReport>> reportListener;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final ReportBudget budget;
    private final AtomicBoolean pushScheduled = new AtomicBoolean();
    private final AtomicBoolean newsScheduled = new AtomicBoolean();

    /**
     * Creates the propagation of a host.
     *
     * @param grantingHosts returns the host that grants the trials of a request
     * @param reportListener receives the reports of other hosts
     */
    SuspicionPropagation(
            SuspicionTable table,
            QuarantineChannel channel,
            Function<RequestFingerprint, HostId> grantingHosts,
            Consumer<Vector<SuspicionReport>> reportListener,
            Scheduler scheduler,
            RandomGenerator random) {
        this.table = table;
        this.channel = channel;
        this.grantingHosts = grantingHosts;
        this.reportListener = reportListener;
        this.scheduler = scheduler;
        this.random = random;
        this.budget = new ReportBudget(scheduler);
    }

    /** Starts the comparisons; call once. */
    void start() {
        compare();
    }

    private void compare() {
        // First, so that an unexpected error does not end the comparisons.
        scheduler.after(withJitter(COMPARISON_INTERVAL_MILLIS), this::compare);
        table.removeExpired();
        randomHosts(1).forEach(host -> send(host, news()));
    }

    private Duration withJitter(long millis) {
        return Duration.ofMillis((long) (millis * (1 + JITTER * (2 * random.nextDouble() - 1))));
    }

    /** Called when this host has found something. */
    void onOwnNews() {
        if (pushScheduled.compareAndSet(false, true)) {
            scheduler.after(GATHERING, this::push);
        }
        scheduleNews();
    }

    /** Called when another host has told something new. */
    void onReceivedNews() {
        scheduleNews();
    }

    private void push() {
        pushScheduled.set(false);
        Vector<SuspicionReport> news = news();
        Set<HostId> granting =
                HashSet.ofAll(news.map(report -> grantingHosts.apply(report.key().request())));
        Vector<HostId> others = channel.others();
        int count = others.size() <= SMALL_FLEET ? others.size() : FANOUT;
        granting.addAll(randomHosts(count))
                .filter(others::contains)
                .forEach(host -> send(host, news));
    }

    private void scheduleNews() {
        if (newsScheduled.compareAndSet(false, true)) {
            scheduler.after(withJitter(NEWS_INTERVAL_MILLIS), this::passOnNews);
        }
    }

    private void passOnNews() {
        newsScheduled.set(false);
        Vector<SuspicionReport> news = news();
        if (!news.isEmpty()) {
            scheduleNews();
            randomHosts(1).forEach(host -> send(host, news));
        }
    }

    private Vector<SuspicionReport> news() {
        return table.changedWithin(NEWS_LIFETIME, MAXIMUM_NEWS);
    }

    private Vector<HostId> randomHosts(int count) {
        Vector<HostId> others = channel.others();
        if (others.isEmpty()) {
            return others;
        }
        return others.rotateLeft(random.nextInt(others.size())).take(count);
    }

    private void send(HostId host, Vector<SuspicionReport> reports) {
        QuarantineChannel.Exchange message =
                new QuarantineChannel.Exchange(table.digest(), allowed(reports));
        channel.exchange(host, message).thenAccept(this::onReply);
    }

    private Vector<SuspicionReport> allowed(Vector<SuspicionReport> reports) {
        return reports.take(budget.take(reports.size()));
    }

    private void onReply(Option<QuarantineChannel.Exchange> reply) {
        reply.forEach(exchange -> reportListener.accept(exchange.reports()));
    }

    /** Returns the reply to a message: news, or all that is known if the sender lacks something. */
    QuarantineChannel.Exchange reply(QuarantineChannel.Exchange message) {
        reportListener.accept(message.reports());
        long digest = table.digest();
        Vector<SuspicionReport> missing =
                digest == message.digest() ? Vector.empty() : table.strongest(MAXIMUM_REPORTS);
        return new QuarantineChannel.Exchange(digest, allowed(missing));
    }
}
