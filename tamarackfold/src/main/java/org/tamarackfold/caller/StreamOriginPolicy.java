package org.tamarackfold.caller;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Set;
import java.util.function.Supplier;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.operator.Route;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.StreamStart;

/**
 * Decides which software version may run a call, so that a stream is resumed only at the version
 * that began it. The origin of a stream is recorded durably before an endpoint of its version
 * receives the call; a stream without token budget may begin unrecorded, and cannot be resumed
 * then. An instance belongs to one call and is not thread-safe.
 */
public final class StreamOriginPolicy {
    /** Bound of the origins recorded for one call; each costs a round trip to a storage host. */
    private static final int MAXIMUM_ORIGINS = 4;

    private final Route route;
    private final Option<Resumption> resumption;
    private Option<StreamOrigin> claimed = Option.none();
    private Option<StreamOrigin> origin = Option.none();

    /**
     * Creates the policy of one call.
     *
     * @param route the route of the call
     * @param resumption the stream that the call resumes; ignored on routes without streams
     */
    public StreamOriginPolicy(Route route, Option<Resumption> resumption) {
        this.route = route;
        this.resumption = route.callSemantics().isStream() ? resumption : Option.none();
    }

    /** Returns whether the call begins a stream that its caller may resume. */
    public boolean beginsStream() {
        return resumption.isEmpty() && route.callSemantics() == CallSemantics.RESUMABLE_STREAM;
    }

    /** Returns whether another origin may be recorded for the stream that the call begins. */
    public boolean mayClaim() {
        return beginsStream() && lastAttempt() < MAXIMUM_ORIGINS;
    }

    private int lastAttempt() {
        return claimed.map(StreamOrigin::attempt).getOrElse(0);
    }

    /**
     * Returns what the reservation of the call records or reads; on the left why the call is
     * refused.
     *
     * @param service the service to which a new stream is sent
     * @param selectable the version of the endpoint that would be selected; none without one
     * @param served the versions of all endpoints of the service
     */
    public Either<String, StreamStart> beforeReservation(
            ServiceName service,
            Supplier<Option<SoftwareVersion>> selectable,
            Supplier<Set<SoftwareVersion>> served) {
        if (resumption.isDefined()) {
            return resumption
                    .get()
                    .firstCall()
                    .<Either<String, StreamStart>>map(
                            firstCall -> Either.right(new StreamStart.Resumes(firstCall)))
                    .getOrElse(() -> resumeUnnamed(service, served.get()));
        }
        Option<SoftwareVersion> version = beginsStream() ? selectable.get() : Option.none();
        return Either.right(
                version.map(first -> claim(service, first)).getOrElse(StreamStart.Untracked::new));
    }

    /** Resumes a stream whose first call is not named: every endpoint must be able to go on. */
    private Either<String, StreamStart> resumeUnnamed(
            ServiceName service, Set<SoftwareVersion> served) {
        if (route.services().size() != 1 || served.size() != 1) {
            return Either.left("the first call of the resumed stream is not named");
        }
        origin = Option.some(new StreamOrigin(service, served.iterator().next(), 0));
        return Either.right(new StreamStart.Untracked());
    }

    /**
     * Returns the origin to record before the call is sent to an endpoint of another version than
     * recorded so far. No event of the stream may have reached the caller.
     */
    public StreamStart claim(ServiceName service, SoftwareVersion version) {
        StreamOrigin next = new StreamOrigin(service, version, lastAttempt() + 1);
        claimed = Option.some(next);
        return new StreamStart.Begins(next);
    }

    /**
     * Applies the origin that a granted reservation has recorded or read. Returns why the call must
     * not be sent; none if it may be.
     */
    public Option<String> afterReservation(Option<StreamOrigin> durable) {
        return resumption.flatMap(Resumption::firstCall).isDefined()
                ? resumeAt(durable)
                : adoptClaim(durable);
    }

    private Option<String> resumeAt(Option<StreamOrigin> durable) {
        if (durable.isEmpty()) {
            return Option.some("the origin of the resumed stream is not recorded");
        }
        ServiceName service = durable.get().service();
        if (!route.services().exists(candidate -> candidate.service().equals(service))) {
            return Option.some("the route does not lead to the service of the resumed stream");
        }
        origin = durable;
        return Option.none();
    }

    /**
     * Adopts the claimed origin. It may not be recorded, by storage hosts of earlier versions or
     * ones that did not answer in time; the stream can then not be resumed, and an origin that may
     * be recorded already must not be left.
     */
    private Option<String> adoptClaim(Option<StreamOrigin> durable) {
        if (origin.isDefined() && claimed.isDefined() && !durable.equals(claimed)) {
            return Option.some("the origin of the stream was not recorded");
        }
        origin = claimed.orElse(origin);
        return Option.none();
    }

    /** Returns the request restricted to the version at which the call may run. */
    public SelectionRequest restrict(SelectionRequest request) {
        return origin.map(required -> request.requiring(required.service(), required.version()))
                .getOrElse(request);
    }

    /** Returns whether the call may be sent to an endpoint, or its events relayed. */
    public boolean allows(EndpointRecord endpoint) {
        return origin.fold(
                () -> !beginsStream(),
                required ->
                        required.service().equals(endpoint.service())
                                && required.version().equals(endpoint.version()));
    }
}
