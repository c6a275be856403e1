package org.tamarackfold.peer.release;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tamarackfold.id.HostId;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.HostTable;
import org.tamarackfold.time.Scheduler;

/**
 * Exchanges releases with one random entry host at a time, so that hosts which the key-value
 * service rejects learn of new releases and of their confirmation. A host that does not reply is
 * skipped until it is chosen again.
 */
public final class ReleasePropagation {
    private static final StructuredLog LOG = StructuredLog.of("operator");

    /**
     * Mean time between two exchanges of a host. Seven of them fit into the 3 s in which a release
     * must be in force; all of them reach hosts that do not have it with a probability of at most
     * 0.33^7 while a third of the hosts are cut off from the key-value service.
     */
    private static final Duration INTERVAL = Duration.ofMillis(400);

    /** Half of the range of the random part of the interval, in milliseconds. */
    private static final int JITTER_MILLIS = 100;

    /** A reply may hold a release of several MB. */
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;
    private final HostTable hostTable;
    private final ReleaseExchange exchange;
    private final ReleaseChannel channel;
    private final RevocationGuard guard;
    private final HostMetrics metrics;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private volatile boolean overdue;

    private ReleasePropagation(Builder builder) {
        this.self = builder.self;
        this.hostTable = builder.hostTable;
        this.exchange = builder.exchange;
        this.channel = builder.channel;
        this.guard = builder.guard;
        this.metrics = builder.metrics;
        this.scheduler = builder.scheduler;
        this.random = builder.random;
    }

    /** Returns a builder; all values are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts the exchanges; call once. */
    public void start() {
        scheduleNext();
    }

    private void scheduleNext() {
        long jitterMillis = random.nextInt(2 * JITTER_MILLIS + 1) - (long) JITTER_MILLIS;
        scheduler.after(INTERVAL.plusMillis(jitterMillis), this::runOnce);
    }

    private void runOnce() {
        scheduleNext();
        logOverdueChange();
        selectPeer().forEach(peer -> send(peer, exchange.opening()));
    }

    /** Returns another registered entry host, each with the same probability. */
    private Option<EntryHost> selectPeer() {
        Vector<EntryHost> others = hostTable.entryHosts().filter(host -> !host.host().equals(self));
        return others.isEmpty()
                ? Option.none()
                : Option.some(others.get(random.nextInt(others.size())));
    }

    private void send(EntryHost peer, ReleaseMessage message) {
        long sentAtNanos = scheduler.nanoTime();
        channel.send(peer.peerAddress(), message, REPLY_TIMEOUT)
                .thenAccept(reply -> onReply(peer, message, sentAtNanos, reply));
    }

    private void onReply(
            EntryHost peer,
            ReleaseMessage message,
            long sentAtNanos,
            Either<String, ReleaseMessage> reply) {
        if (reply.isLeft()) {
            metrics.recordReleaseExchange("failed");
            return;
        }
        Option<ReleaseMessage> next = exchange.onReply(reply.get(), sentAtNanos);
        if (next.isEmpty()) {
            return;
        }
        // A host that has not adopted the release is not sent it again in this exchange.
        boolean notAdopted = message.written().isDefined();
        metrics.recordReleaseExchange(notAdopted ? "not_adopted" : "sent");
        if (!notAdopted) {
            send(peer, next.get());
        }
    }

    /** Logs once when the confirmation becomes overdue, and once when it no longer is. */
    private void logOverdueChange() {
        boolean isOverdue = guard.isOverdue();
        if (isOverdue == overdue) {
            return;
        }
        overdue = isOverdue;
        ReleaseMessage own = exchange.opening();
        StructuredLog.Line line =
                LOG.event(isOverdue ? "release_unconfirmed" : "release_confirmed")
                        .with("version", own.version().map(String::valueOf).getOrElse("none"))
                        .with("age_ms", own.confirmedAge().map(Duration::toMillis).getOrElse(-1L))
                        .with("fail_closed", guard.failsClosed());
        if (isOverdue) {
            line.warn();
        } else {
            line.info();
        }
    }

    /** Builder of the propagation of a host. */
    public static final class Builder {
        private HostId self;
        private HostTable hostTable;
        private ReleaseExchange exchange;
        private ReleaseChannel channel;
        private RevocationGuard guard;
        private HostMetrics metrics;
        private Scheduler scheduler;
        private RandomGenerator random;

        private Builder() {}

        /** Sets this host, which is never asked. */
        public Builder self(HostId value) {
            self = value;
            return this;
        }

        /** Sets the registered hosts. */
        public Builder hostTable(HostTable value) {
            hostTable = value;
            return this;
        }

        /** Sets the decisions on messages. */
        public Builder exchange(ReleaseExchange value) {
            exchange = value;
            return this;
        }

        /** Sets the channel to other hosts. */
        public Builder channel(ReleaseChannel value) {
            channel = value;
            return this;
        }

        /** Sets the decision whether the confirmation is overdue, whose changes are logged. */
        public Builder guard(RevocationGuard value) {
            guard = value;
            return this;
        }

        /** Sets the metrics that count exchanges without a reply. */
        public Builder metrics(HostMetrics value) {
            metrics = value;
            return this;
        }

        /** Sets the clock and timers. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Sets the source of the jitter and of the choice of hosts. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Creates the propagation without starting it. */
        public ReleasePropagation build() {
            return new ReleasePropagation(this);
        }
    }
}
