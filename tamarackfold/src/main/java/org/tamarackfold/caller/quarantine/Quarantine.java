package org.tamarackfold.caller.quarantine;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.time.Scheduler;

/**
 * Keeps requests that crash endpoints away from them. Endpoints that end are evidence against the
 * requests that were under way there; a whole response clears a request; a suspected one is tried
 * by one copy at a time over all hosts; one that is certain to crash endpoints is rejected for a
 * time. Thread-safe.
 */
public final class Quarantine {
    private static final StructuredLog LOG = StructuredLog.of("quarantine");

    /** Time in which what is learned is gathered for one decision. */
    private static final Duration GATHERING = Duration.ofMillis(50);

    private final HostId self;
    private final AtomicBoolean decisionScheduled = new AtomicBoolean();
    private final SuspicionTable table;
    private final TrialLedger ledger = new TrialLedger();
    private final TrialRequester trials;
    private final SuspicionPropagation propagation;
    private final Function<ServiceName, java.util.Set<SoftwareVersion>> versions;
    private final QuarantineRecorder recorder;
    private final Scheduler scheduler;
    private final HostMetrics metrics;

    private Quarantine(Builder builder) {
        self = Objects.requireNonNull(builder.self);
        recorder = Objects.requireNonNull(builder.recorder);
        versions = Objects.requireNonNull(builder.versions);
        scheduler = Objects.requireNonNull(builder.scheduler);
        metrics = Objects.requireNonNull(builder.metrics);
        table = new SuspicionTable(Objects.requireNonNull(builder.endpointCount), scheduler);
        trials =
                new TrialRequester(
                        self,
                        Objects.requireNonNull(builder.channel),
                        this::verdict,
                        this::onReports,
                        ledger,
                        scheduler);
        propagation =
                new SuspicionPropagation(
                        table,
                        builder.channel,
                        trials::grantingHost,
                        this::onReports,
                        scheduler,
                        Objects.requireNonNull(builder.random));
    }

    /** Returns a builder; all values are required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts to compare what is known with other hosts; call once. */
    public void start() {
        propagation.start();
    }

    /** Returns whether no request is suspected, so that fingerprints are not needed. */
    public boolean isEmpty() {
        return table.isEmpty();
    }

    /** Returns the number of requests that are rejected now. */
    public int quarantinedCount() {
        return table.quarantinedCount();
    }

    /** Returns what may be done with a request at a service. */
    public Verdict verdict(TrialKey key) {
        Set<SoftwareVersion> present = HashSet.ofAll(versions.apply(key.service()));
        return table.verdict(key.request(), key.service(), present);
    }

    /**
     * Records that an endpoint has ended while a request was under way there.
     *
     * @param exposure how long the request had been there
     */
    public void recordEnd(RequestFingerprint request, EndpointRecord endpoint, Duration exposure) {
        SuspicionKey key = new SuspicionKey(request, Software.of(endpoint));
        boolean isNews = table.recordEnd(key, Incarnation.of(endpoint), exposure);
        if (isNews) {
            LOG.event("suspected")
                    .with("request", request)
                    .with("service", endpoint.service())
                    .with("version", endpoint.version())
                    .with("endpoint", endpoint.id())
                    .with("exposure_ms", exposure.toMillis())
                    .with("ends", table.endsUnder(key))
                    .info();
            onChange();
        }
    }

    /** Records that an endpoint has answered a request whole. */
    public void recordAnswer(RequestFingerprint request, EndpointRecord endpoint) {
        SuspicionKey key = new SuspicionKey(request, Software.of(endpoint));
        if (table.recordAnswer(key)) {
            LOG.event("cleared")
                    .with("request", request)
                    .with("service", endpoint.service())
                    .with("endpoint", endpoint.id())
                    .info();
            propagation.onOwnNews();
            recorder.remove(key);
        }
    }

    /** Returns what is known of a request that is rejected now; none of any other. */
    public Option<SuspicionReport> quarantined(SuspicionKey key) {
        return table.reportsOn(key.request())
                .find(report -> report.key().equals(key))
                .filter(
                        report ->
                                report.quarantinedAge()
                                        .exists(
                                                age ->
                                                        age.compareTo(QuarantineTimes.QUARANTINE)
                                                                < 0));
    }

    /** Adds what the key-value service has kept. */
    public void onRecord(SuspicionReport report) {
        onReports(Vector.of(report));
    }

    /** What other hosts have found counts as if this one had. */
    private void onReports(Vector<SuspicionReport> reports) {
        if (reports.isEmpty()) {
            return;
        }
        Vector<SuspicionKey> news = table.merge(reports);
        reports.filter(report -> news.contains(report.key()))
                .filter(report -> report.quarantinedAge().isDefined())
                .forEach(report -> logQuarantined(report, "peer"));
        if (!news.isEmpty()) {
            propagation.onReceivedNews();
            scheduleDecision();
        }
    }

    private void onChange() {
        propagation.onOwnNews();
        scheduleDecision();
    }

    /** What is learned while a decision is due has one of its own. */
    private void scheduleDecision() {
        if (decisionScheduled.compareAndSet(false, true)) {
            scheduler.after(
                    GATHERING,
                    () -> {
                        decisionScheduled.set(false);
                        scheduler.after(QuarantineTimes.SETTLING, this::decide);
                    });
        }
    }

    private void decide() {
        Vector<SuspicionReport> found = table.quarantineCertain();
        if (found.isEmpty()) {
            return;
        }
        found.forEach(report -> logQuarantined(report, "own"));
        found.forEach(recorder::record);
        propagation.onOwnNews();
        // The ends that are explained now no longer speak for a general cause.
        decide();
    }

    private void logQuarantined(SuspicionReport report, String source) {
        LOG.event("quarantined")
                .with("request", report.key().request())
                .with("service", report.key().software().service())
                .with("version", report.key().software().version())
                .with("source", source)
                .with("ended", report.runs().map(run -> run.endpoint().id()).mkString(","))
                .warn();
        metrics.recordQuarantine(report.key().software().service().value(), source);
    }

    /** A trial that was granted; whoever has asked for it ends it. */
    public record Trial(TrialKey key, HostId grantedBy) {}

    /** The decision on a trial, which exists once it is granted. */
    public record TrialAnswer(TrialDecision decision, Trial trial) {}

    /**
     * Asks whether a copy of a request may be sent now. The future never fails.
     *
     * @param lease after which time the trial counts as ended in any case
     */
    public CompletableFuture<TrialAnswer> requestTrial(TrialKey key, Duration lease) {
        return trials.request(key, lease)
                .thenApply(
                        reply ->
                                new TrialAnswer(
                                        reply.decision(), new Trial(key, reply.grantedBy())));
    }

    /** Ends a trial. */
    public void endTrial(Trial trial) {
        trials.end(trial.key(), trial.grantedBy(), table.reportsOn(trial.key().request()));
    }

    /** Returns the reply to what another host knows. */
    public QuarantineChannel.Exchange onExchange(QuarantineChannel.Exchange message) {
        return propagation.reply(message);
    }

    /** Returns the reply to another host that asks for a trial. */
    public QuarantineChannel.TrialReply onTrialRequest(HostId host, TrialKey key, Duration lease) {
        TrialDecision decision =
                ledger.request(key, host, verdict(key), lease, scheduler.nanoTime());
        return new QuarantineChannel.TrialReply(decision, table.reportsOn(key.request()));
    }

    /** Ends the trial of another host, and adds what that host knows of the request. */
    public void onTrialEnd(HostId host, TrialKey key, Vector<SuspicionReport> reports) {
        onReports(reports);
        ledger.end(key, host);
    }

    /** Builder of the quarantine of a host. */
    public static final class Builder {
        private HostId self;
        private QuarantineChannel channel;
        private QuarantineRecorder recorder;
        private Function<ServiceName, java.util.Set<SoftwareVersion>> versions;
        private ToIntFunction<ServiceName> endpointCount;
        private Scheduler scheduler;
        private RandomGenerator random;
        private HostMetrics metrics;

        private Builder() {}

        /** Sets this host. */
        public Builder self(HostId value) {
            self = value;
            return this;
        }

        /** Sets the channel to the other hosts. */
        public Builder channel(QuarantineChannel value) {
            channel = value;
            return this;
        }

        /** Sets what keeps quarantines over a restart of all hosts. */
        public Builder recorder(QuarantineRecorder value) {
            recorder = value;
            return this;
        }

        /** Sets what returns the software versions of the endpoints of a service. */
        public Builder versions(Function<ServiceName, java.util.Set<SoftwareVersion>> value) {
            versions = value;
            return this;
        }

        /** Sets what returns the number of endpoints of a service. */
        public Builder endpointCount(ToIntFunction<ServiceName> value) {
            endpointCount = value;
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

        /** Sets the metrics that count requests in quarantine. */
        public Builder metrics(HostMetrics value) {
            metrics = value;
            return this;
        }

        /** Creates the quarantine without starting it. */
        public Quarantine build() {
            return new Quarantine(this);
        }
    }
}
