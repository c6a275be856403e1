package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.caller.ProgramOrder;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.caller.RetryDelays;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.endpoint.cost.CallProfile;
import org.tamarackfold.endpoint.cost.LearnedPlacement;
import org.tamarackfold.endpoint.cost.PlacementPolicy;
import org.tamarackfold.endpoint.share.ShareDecision;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.ServiceDefinition;

/** What is known of the cost of a call, and what its attempts tell endpoints of its order. */
final class CallPlacement {
    private final CallDependencies dependencies;
    private final CallDescription call;
    private final Release release;
    private final Route route;
    private final long arrivedAtNanos;
    private final Option<CallProfile> profile;
    private final CallShare share;

    CallPlacement(
            CallDependencies dependencies,
            CallDescription call,
            Release release,
            Route route,
            long arrivedAtNanos) {
        this.dependencies = dependencies;
        this.call = call;
        this.release = release;
        this.route = route;
        this.arrivedAtNanos = arrivedAtNanos;
        this.profile = Option.when(route.callSemantics().isStream(), () -> profile(call, route));
        this.share = CallShare.of(dependencies, call, profile.isDefined(), isFirstTurn());
    }

    /** Returns the criteria by which the first endpoint is selected. */
    SelectionRequest initialSelection() {
        SelectionRequest request =
                InitialSelection.of(call, route, dependencies.random().nextDouble());
        return profile.map(request::withProfile).getOrElse(request);
    }

    /** Returns the refusal of a call whose customer is over its share of the service. */
    Option<LocalResponse> shareRefusal(
            ServiceName service, CallLog callLog, RetryDelays retryDelays) {
        Option<ShareDecision.Refused> refused = share.refusal(service, System.nanoTime());
        refused.forEach(callLog::overShare);
        return refused.map(
                decision ->
                        new LocalResponse.Refused(
                                retryDelays.whenOverShare(decision.drainTime()),
                                "customer over its share"));
    }

    /** Creates the observer of the attempts of the call. */
    CallCostObserver newObserver() {
        return new CallCostObserver(
                dependencies.endpoints().policy(), dependencies.metrics(), call.id(), profile);
    }

    /**
     * Returns the profile of a stream. Other calls have none and are placed by the existing rule:
     * they end before the totals of the other hosts arrive, and their endpoints reject calls beyond
     * their slots, so that the learned rule had eight times as many of them refused.
     */
    private static CallProfile profile(CallDescription call, Route route) {
        return CallProfile.builder()
                .route(route.name())
                .customer(call.customer())
                .program(call.turn().map(ProgramTurn::program))
                .continuesProgram(call.turn().exists(turn -> turn.parent().isDefined()))
                .sharedPart(call.affinityKey())
                .promptTokens(call.promptTokens().getOrElse(0L))
                .outputTokens(call.expectedOutputTokens())
                .build();
    }

    /** Returns the request for an attempt; it has an order only where placement is learned. */
    EndpointRequest request(
            HttpServerExchange exchange, byte[] body, ServiceName service, CrashWatch crashWatch) {
        EndpointRequest request =
                EndpointRequest.of(
                        exchange,
                        call,
                        dependencies.headerNames(),
                        body,
                        route.callSemantics().isRetryable(),
                        crashWatch);
        return switch (dependencies.endpoints().policy()) {
            case PlacementPolicy.LeastInFlight() -> request;
            case LearnedPlacement _ -> {
                String order = Integer.toString(order(service, System.nanoTime()));
                request.headers().put(dependencies.headerNames().programPriority(), order);
                yield request;
            }
        };
    }

    /** Returns the tokens that an endpoint generates for each event; 0 when that is not known. */
    int tokensPerEvent(EndpointRecord endpoint) {
        return release.service(endpoint.service())
                .map(ServiceDefinition::tokensPerEvent)
                .getOrElse(0);
    }

    private int order(ServiceName service, long nowNanos) {
        int priority = release.priorityOf(call.customer(), route);
        Option<Duration> remainingTime =
                call.programDeadline().map(time -> time.minusNanos(nowNanos - arrivedAtNanos));
        return ProgramOrder.of(
                priority,
                continuesProgram(),
                remainingTime,
                share.orderIncrease(service, nowNanos));
    }

    /** A resumed stream is none: its caller has received a part of it. */
    private boolean isFirstTurn() {
        return !continuesProgram() && call.resumption().isEmpty();
    }

    /** Any call but the first turn of a program whose history is kept continues a program. */
    private boolean continuesProgram() {
        return !route.keepsHistory() || call.turn().forAll(turn -> turn.parent().isDefined());
    }
}
