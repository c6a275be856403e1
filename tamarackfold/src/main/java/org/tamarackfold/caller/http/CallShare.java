package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.cost.LearnedPlacement;
import org.tamarackfold.endpoint.cost.PlacementPolicy;
import org.tamarackfold.endpoint.share.OverShare;
import org.tamarackfold.endpoint.share.ShareDecision;
import org.tamarackfold.endpoint.share.ShareTable;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;

/**
 * Applies the share of its customer to a stream; does nothing where no shares are computed. Used on
 * the I/O thread of the caller's connection.
 */
final class CallShare {
    private static final StructuredLog LOG = StructuredLog.of("share");

    private final Option<ShareTable> table;
    private final HostMetrics metrics;
    private final RandomGenerator random;
    private final CallDescription call;
    private final boolean isFirstTurn;

    private CallShare(
            Option<ShareTable> table,
            CallDependencies dependencies,
            CallDescription call,
            boolean isFirstTurn) {
        this.table = table;
        this.metrics = dependencies.metrics();
        this.random = dependencies.random();
        this.call = call;
        this.isFirstTurn = isFirstTurn;
    }

    /**
     * Creates the share of a call.
     *
     * @param isStream whether the call is placed by learned cost; others are not counted
     * @param isFirstTurn whether the call begins a program, which may be refused
     */
    static CallShare of(
            CallDependencies dependencies,
            CallDescription call,
            boolean isStream,
            boolean isFirstTurn) {
        Option<ShareTable> table =
                switch (dependencies.endpoints().policy()) {
                    case PlacementPolicy.LeastInFlight() -> Option.none();
                    case LearnedPlacement learned -> learned.shares();
                };
        return new CallShare(table.filter(unused -> isStream), dependencies, call, isFirstTurn);
    }

    /** Decides, when the call has arrived, whether it is refused; none if it may be sent. */
    Option<ShareDecision.Refused> refusal(ServiceName service, long nowNanos) {
        for (ShareTable known : table) {
            ShareDecision decision =
                    known.decide(
                            service, call.customer(), isFirstTurn, random.nextDouble(), nowNanos);
            switch (decision) {
                case ShareDecision.Unaffected() -> {}
                case ShareDecision.Admitted() -> metrics.recordShareDecision("admitted");
                case ShareDecision.Later(var over, var age, _) -> {
                    metrics.recordShareDecision("later");
                    logOverShare(known, service, over, age, nowNanos);
                }
                case ShareDecision.Refused refused -> {
                    metrics.recordShareDecision("refused");
                    logOverShare(known, service, refused.over(), refused.totalsAge(), nowNanos);
                    return Option.some(refused);
                }
            }
        }
        return Option.none();
    }

    private static void logOverShare(
            ShareTable table, ServiceName service, OverShare over, Duration age, long nowNanos) {
        if (table.mayLog(over.customer(), nowNanos)) {
            LOG.event("over_share")
                    .with("customer", over.customer())
                    .with("service", service)
                    .with("ratio", String.format(Locale.ROOT, "%.1f", over.ratio()))
                    .with("totals_age_ms", age.toMillis())
                    .info();
        }
    }

    /** Returns by how much the order of an attempt is raised. */
    int orderIncrease(ServiceName service, long nowNanos) {
        return table.map(known -> known.orderIncrease(service, call.customer(), nowNanos))
                .getOrElse(0);
    }
}
