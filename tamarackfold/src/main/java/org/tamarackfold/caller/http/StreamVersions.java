package org.tamarackfold.caller.http;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.StreamOriginPolicy;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.Selection;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.operator.Route;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.StreamStart;

/**
 * Keeps the attempts of one call at one software version: carries out the decisions of {@link
 * StreamOriginPolicy} with the endpoint table and the storage hosts. Used on the I/O thread of the
 * caller's connection.
 */
final class StreamVersions {
    private final EndpointTable endpoints;
    private final TurnState turnState;
    private final CallLog callLog;
    private final StreamOriginPolicy policy;

    StreamVersions(
            EndpointTable endpoints,
            CallDescription call,
            Route route,
            TurnState turnState,
            CallLog callLog) {
        this.endpoints = endpoints;
        this.turnState = turnState;
        this.callLog = callLog;
        this.policy = new StreamOriginPolicy(route, call.resumption());
    }

    /**
     * Reserves the tokens of a turn and records or reads the origin of the stream in one request.
     *
     * @param timeLeft returns the time until the deadline of the call
     */
    CompletableFuture<TurnState.Preparation> prepare(
            SelectionRequest request, Supplier<Duration> timeLeft) {
        Either<String, StreamStart> start =
                policy.beforeReservation(
                        request.service(),
                        () -> endpoints.versionToSelect(request, System.nanoTime()),
                        () -> endpoints.versions(request.service()));
        if (start.isLeft()) {
            return CompletableFuture.completedFuture(
                    new TurnState.Preparation.Unavailable(start.getLeft()));
        }
        return turnState.prepare(start.get(), timeLeft);
    }

    /** Applies the result of a reservation; returns why the call must not be sent, if so. */
    Option<String> afterReservation(Option<StreamOrigin> durable) {
        Option<String> refusal = policy.afterReservation(durable);
        callLog.streamOrigin(durable, refusal);
        return refusal;
    }

    /**
     * Selects an endpoint of the version at which the call may run. On the left a version that must
     * be recorded first, because a new stream can only begin there.
     */
    Either<SoftwareVersion, Selection> select(SelectionRequest request, long nowNanos) {
        Selection selection = endpoints.select(policy.restrict(request), nowNanos);
        if (selection instanceof Selection.Selected selected) {
            return permit(selected);
        }
        Option<SoftwareVersion> other =
                policy.mayClaim() ? endpoints.versionToSelect(request, nowNanos) : Option.none();
        return other.toEither(selection).swap();
    }

    private Either<SoftwareVersion, Selection> permit(Selection.Selected selected) {
        EndpointRecord endpoint = selected.endpoint();
        if (policy.allows(endpoint)) {
            return Either.right(selected);
        }
        endpoints.release(endpoint.id());
        return Either.left(endpoint.version());
    }

    /**
     * Returns whether the first event of an endpoint may be relayed: an endpoint may have restarted
     * under its id with another version since it was selected.
     */
    boolean mayRelay(EndpointRecord endpoint) {
        return policy.allows(endpoints.get(endpoint.id()).getOrElse(endpoint));
    }

    /**
     * Records that the stream will begin at another version. No attempt may have passed an event to
     * the caller.
     */
    CompletableFuture<TurnState.Preparation> recordVersion(
            SelectionRequest request, SoftwareVersion version, Duration remainingTime) {
        return turnState.recordOrigin(policy.claim(request.service(), version), remainingTime);
    }
}
