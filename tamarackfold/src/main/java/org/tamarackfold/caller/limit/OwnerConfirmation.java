package org.tamarackfold.caller.limit;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.HostId;

/**
 * Lets this host stay an owner while the key-value service is down: when its lease is about to end,
 * it asks other hosts, chosen at random, whether they still see it as registered. A host that is
 * cut off from the service alone is soon missing in the view of most others, and a single reply
 * that says so ends its ownership until it has a lease again. Used by one thread.
 */
public final class OwnerConfirmation {
    /**
     * Hosts asked at a time. While a third of the hosts is cut off with stale views, all of those
     * asked are among them once in 81 times; the next question goes to others.
     */
    private static final int HOSTS_ASKED = 4;

    /** Rest of a lease from which on other hosts are asked; a lease is renewed well before. */
    private static final long DOUBTFUL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Time between questions; a confirmation outlasts a lost reply. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final OwnerSelection owners;
    private final PermitChannel channel;
    private final RandomGenerator random;
    private Option<Long> knownEndNanos = Option.none();
    private Option<Long> askedAtNanos = Option.none();
    private boolean denied;

    /** Creates the confirmation of the host to which the selection belongs. */
    public OwnerConfirmation(OwnerSelection owners, PermitChannel channel, RandomGenerator random) {
        this.owners = owners;
        this.channel = channel;
        this.random = random;
    }

    /**
     * Confirms the host by its lease, or asks others. A lease that ended early ends the ownership:
     * others have seen the registration disappear. Called several times a second.
     *
     * @param leaseEndNanos the end of the lease of its registration; none if it never had one
     * @param mayAsk whether other hosts may be asked; false while no customer has a limit
     */
    public void check(Option<Long> leaseEndNanos, boolean mayAsk, long nowNanos) {
        if (leaseEndNanos.isEmpty()) {
            return;
        }
        if (knownEndNanos.exists(known -> known - leaseEndNanos.get() > 0)) {
            owners.resign(nowNanos);
        }
        knownEndNanos = leaseEndNanos;
        long leaseLeftNanos = leaseEndNanos.get() - nowNanos;
        if (leaseLeftNanos > 0) {
            owners.confirm(leaseEndNanos.get(), nowNanos);
        }
        if (leaseLeftNanos > DOUBTFUL_NANOS) {
            denied = false;
            return;
        }
        owners.missRenewal(nowNanos);
        if (mayAsk && !denied && isQuestionDue(nowNanos)) {
            askedAtNanos = Option.some(nowNanos);
            askOthers(nowNanos);
        }
    }

    private boolean isQuestionDue(long nowNanos) {
        return askedAtNanos.forAll(asked -> nowNanos - asked >= INTERVAL_NANOS);
    }

    private void askOthers(long nowNanos) {
        Vector<HostId> asked = chooseHosts(nowNanos);
        long untilNanos = nowNanos + OwnerSelection.CONFIRMATION_NANOS;
        if (asked.isEmpty()) {
            owners.confirm(untilNanos, nowNanos);
            return;
        }
        Question question = new Question(asked.size(), untilNanos, nowNanos);
        asked.forEach(host -> channel.sees(host).thenAccept(question::onReply));
    }

    private Vector<HostId> chooseHosts(long nowNanos) {
        Vector<HostId> others = owners.otherHosts(nowNanos);
        Vector<HostId> chosen = Vector.empty();
        while (!others.isEmpty() && chosen.size() < HOSTS_ASKED) {
            int index = random.nextInt(others.size());
            chosen = chosen.append(others.get(index));
            others = others.removeAt(index);
        }
        return chosen;
    }

    /** The replies of one round; the host is confirmed when at least half of those asked agree. */
    private final class Question {
        private final int asked;
        private final long untilNanos;
        private final long askedAtNanos;
        private int replies;
        private int agreed;

        private Question(int asked, long untilNanos, long askedAtNanos) {
            this.asked = asked;
            this.untilNanos = untilNanos;
            this.askedAtNanos = askedAtNanos;
        }

        private void onReply(Option<Boolean> sees) {
            replies++;
            agreed += sees.contains(true) ? 1 : 0;
            denied |= sees.contains(false);
            if (replies == asked && 2 * agreed >= asked && !denied) {
                owners.confirm(untilNanos, askedAtNanos);
            }
        }
    }
}
