package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.Resumption;
import org.tamarackfold.caller.limit.PermitDecision;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.Selection;
import org.tamarackfold.endpoint.StatedRateLimit;
import org.tamarackfold.endpoint.share.ShareDecision;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.RouteName;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.transport.ExchangeHandle;

/** Records the decisions on one call and its end in the log and in the metrics. */
final class CallLog {
    private static final StructuredLog LOG = StructuredLog.of("caller");

    private final HostMetrics metrics;
    private final CallDescription call;
    private final RouteName route;
    private final ReleaseVersion release;
    private final ActiveCalls activeCalls;
    private Option<ShareDecision.Refused> overShare = Option.none();

    CallLog(
            HostMetrics metrics,
            CallDescription call,
            RouteName route,
            ReleaseVersion release,
            ActiveCalls activeCalls) {
        this.metrics = metrics;
        this.call = call;
        this.route = route;
        this.release = release;
        this.activeCalls = activeCalls;
    }

    /** Starts a line with the id of the call and its customer, if it has one. */
    private StructuredLog.Line event(String name) {
        StructuredLog.Line line = LOG.event(name).with("call", call.id());
        call.customer().forEach(customer -> line.with("customer", customer));
        return line;
    }

    /** Records that the call is sent to the selected endpoint. */
    void dispatched(
            Selection.Selected selected,
            EndpointAttempt attempt,
            Duration remainingTime,
            long nowNanos) {
        StructuredLog.Line line =
                event("dispatch")
                        .with("route", route)
                        .with("release", release)
                        .with("endpoint", selected.endpoint().id())
                        .with("version", selected.endpoint().version())
                        .with("in_flight", selected.inFlight())
                        .with("left_ms", remainingTime.toMillis());
        if (attempt instanceof ForwardedAttempt forwarded) {
            line.with("via", forwarded.host().host());
        }
        addTimeSinceStop(line, nowNanos);
        call.turn().forEach(turn -> line.with("program", turn.program()));
        call.resumption().forEach(resumption -> line.with("resumes", nameOf(resumption)));
        for (StatedRateLimit stated : selected.rateLimit()) {
            line.with("limit_per_s", stated.limit())
                    .with("limit_age_ms", stated.ageMillis(nowNanos));
            metrics.recordLimitedAttempt(selected.endpoint().service().value());
        }
        line.info();
    }

    /**
     * Records the origin of a stream that a reservation has recorded or read, with the reason why
     * the call is not sent, if so. The first origin of a new stream has no line of its own: its
     * version is in that of the dispatch.
     */
    void streamOrigin(Option<StreamOrigin> origin, Option<String> refusal) {
        boolean isChoice =
                call.resumption().isDefined() || origin.exists(known -> known.attempt() > 1);
        if (!isChoice && refusal.isEmpty()) {
            return;
        }
        StructuredLog.Line line = event("stream_origin");
        call.resumption().forEach(resumption -> line.with("resumes", nameOf(resumption)));
        origin.forEach(
                known ->
                        line.with("service", known.service())
                                .with("version", known.version())
                                .with("origin_attempt", known.attempt()));
        refusal.forEach(reason -> line.with("refused", reason));
        line.info();
    }

    private static String nameOf(Resumption resumption) {
        return resumption.firstCall().map(CallId::value).getOrElse("unnamed");
    }

    /** Records that an attempt got no permit, because the customer is at its limit. */
    void limitReached(PermitDecision.Refused refused) {
        metrics.recordPermitDecision("refused");
        StructuredLog.Line line =
                LOG.event("limit_reached")
                        .with("call", call.id())
                        .with("remaining", String.format(Locale.ROOT, "%.1f", refused.remaining()));
        call.customer().forEach(customer -> line.with("customer", customer));
        refused.repliedBy()
                .forEach(
                        host ->
                                line.with("owner", host)
                                        .with("reply_age_ms", refused.replyAge().toMillis()));
        line.info();
    }

    /** Notes that the call is refused because its customer is over its share. */
    void overShare(ShareDecision.Refused refused) {
        overShare = Option.some(refused);
    }

    /** Records a decision on a call whose request is suspected of crashing endpoints. */
    void suspected(String decision, RequestFingerprint request) {
        metrics.recordSuspectedCall(route.value(), decision);
        event("suspected_request")
                .with("decision", decision)
                .with("request", request)
                .with("route", route)
                .info();
    }

    /** Records that an attempt ended without a response to relay. */
    void attemptFailed(EndpointId endpoint, AttemptOutcome outcome, String reason) {
        event("attempt_failed")
                .with("endpoint", endpoint)
                .with("outcome", outcome)
                .with("reason", reason)
                .info();
    }

    /**
     * Records that an attempt was given up before the head of a response.
     *
     * @param waited the time since the start of the attempt
     * @param endpointHeard the time since bytes of the endpoint arrived last; none if never
     * @param serviceHeard the same for all endpoints of its service: silence of one endpoint is its
     *     own, silence of all of them may be that of the path to them
     */
    void attemptUnanswered(
            EndpointRecord endpoint,
            ExchangeHandle.Stage stage,
            Duration waited,
            Option<Duration> endpointHeard,
            Option<Duration> serviceHeard) {
        StructuredLog.Line line =
                event("attempt_unanswered")
                        .with("endpoint", endpoint.id())
                        .with("stage", stage)
                        .with("waited_ms", waited.toMillis());
        endpointHeard.forEach(time -> line.with("endpoint_heard_ms", time.toMillis()));
        serviceHeard.forEach(time -> line.with("service_heard_ms", time.toMillis()));
        line.info();
    }

    /** Records that a response ended before it was complete. */
    void responseBroken(EndpointId endpoint, String reason, boolean started) {
        event("answer_broken")
                .with("endpoint", endpoint)
                .with("reason", reason)
                .with("started", started)
                .info();
    }

    /** Returns a record of the read at the deadline of the call. */
    DeadlineRead newDeadlineRead() {
        return new DeadlineRead(metrics, () -> event("read_at_deadline"));
    }

    /**
     * Records the end of the call.
     *
     * @param endpoint the endpoint whose response ended it; none if there was none
     */
    void ended(
            String outcome,
            String reason,
            int attempts,
            long durationNanos,
            Option<EndpointId> endpoint) {
        metrics.recordCall(route.value(), outcome, durationNanos / 1e9);
        StructuredLog.Line line =
                event("call_end")
                        .with("route", route)
                        .with("release", release)
                        .with("outcome", outcome)
                        .with("reason", reason)
                        .with("attempts", attempts)
                        .with("ms", TimeUnit.NANOSECONDS.toMillis(durationNanos));
        endpoint.forEach(id -> line.with("endpoint", id));
        for (ShareDecision.Refused refused : overShare) {
            double ratio = refused.over().ratio();
            line.with("share_ratio", String.format(Locale.ROOT, "%.1f", ratio))
                    .with("totals_age_ms", refused.totalsAge().toMillis());
        }
        addTimeSinceStop(line, System.nanoTime());
        call.resumption().forEach(resumption -> line.with("resumes", nameOf(resumption)));
        line.info();
    }

    /** Adds how long the host has been stopping; nothing while it is not. */
    private void addTimeSinceStop(StructuredLog.Line line, long nowNanos) {
        activeCalls
                .timeSinceStop(nowNanos)
                .forEach(time -> line.with("stopping_ms", time.toMillis()));
    }
}
