package org.tamarackfold.endpoint;

import io.vavr.collection.Stream;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.tamarackfold.endpoint.cost.PlacementPolicy;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * The registered endpoints with the load and health that this host has observed. Thread-safe. Times
 * are monotonic, as of {@link System#nanoTime()}.
 */
public final class EndpointTable {
    /** Back-off after the first failure; doubles with each consecutive failure. */
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(300).toNanos();

    /** Upper bound of the back-off; shorter than most endpoints need for a restart. */
    private static final long MAXIMUM_BACKOFF_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * Back-off after an endpoint rejected a call, usually because all slots are in use; brief,
     * because a slot is free as soon as one short call ends.
     */
    private static final long REJECTED_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

    private final TableLock lock = new TableLock(LockRank.ENDPOINTS);
    private final Map<EndpointId, EndpointState> states = new HashMap<>();
    private final Map<ServiceName, CallRate> rates = new HashMap<>();
    private final LeavingEndpoints leaving = new LeavingEndpoints();
    private final AvailabilityZone localZone;
    private final RandomGenerator random;
    private final FleetView fleet;
    private final InstantSource clock;
    private final Supplier<PlacementPolicy> policy;

    /** Creates an empty table that selects the endpoint with the least share of slots in use. */
    public EndpointTable(
            AvailabilityZone localZone,
            RandomGenerator random,
            FleetView fleet,
            InstantSource clock) {
        this(localZone, random, fleet, clock, PlacementPolicy.LeastInFlight::new);
    }

    /**
     * Creates an empty table.
     *
     * @param localZone the availability zone of this host
     * @param random spreads calls over endpoints of equal cost
     * @param fleet tells which part of a rate limit this host may use
     * @param clock the time of day, by which the hosts agree on whose turn it is to use a limit
     * @param policy returns the rule by which endpoints are selected now
     */
    public EndpointTable(
            AvailabilityZone localZone,
            RandomGenerator random,
            FleetView fleet,
            InstantSource clock,
            Supplier<PlacementPolicy> policy) {
        this.policy = policy;
        this.localZone = localZone;
        this.random = random;
        this.fleet = fleet;
        this.clock = clock;
    }

    /** Returns the rule by which endpoints are selected now. */
    public PlacementPolicy policy() {
        return policy.get();
    }

    /** Adds an endpoint, or replaces its registration and keeps the observed state. */
    public void put(EndpointRecord record) {
        lock.run(
                () -> {
                    EndpointState state = states.get(record.id());
                    if (state == null) {
                        states.put(record.id(), newState(record));
                    } else {
                        state.update(record);
                    }
                });
    }

    /** An endpoint that registers while its whole service is out of reach is so, too. */
    private EndpointState newState(EndpointRecord record) {
        EndpointState state = new EndpointState(record);
        Stream<EndpointState> others = ofService(record.service());
        state.setReachable(others.isEmpty() || others.exists(EndpointState::isReachable));
        return state;
    }

    private Stream<EndpointState> ofService(ServiceName service) {
        return Stream.ofAll(states.values())
                .filter(state -> state.record().service().equals(service));
    }

    /** Removes an endpoint; returns its registration, none when it is unknown. */
    public Option<EndpointRecord> remove(EndpointId id) {
        return lock.withLock(
                () -> {
                    Option<EndpointRecord> removed =
                            Option.of(states.remove(id)).map(EndpointState::record);
                    removed.map(Incarnation::of).forEach(leaving::onRemoved);
                    return removed;
                });
    }

    /** Returns the registration of an endpoint; none when it is unknown. */
    public Option<EndpointRecord> get(EndpointId id) {
        return lock.withLock(() -> Option.of(states.get(id)).map(EndpointState::record));
    }

    /**
     * Counts the endpoints of each service, without those that are draining, leaving or excluded.
     */
    public Map<ServiceName, Long> countAvailable(Set<EndpointId> excluded, long nowNanos) {
        return lock.withLock(
                () ->
                        states.values().stream()
                                .map(EndpointState::record)
                                .filter(record -> !isDrainingOrLeaving(record, nowNanos))
                                .filter(record -> !excluded.contains(record.id()))
                                .collect(
                                        Collectors.groupingBy(
                                                EndpointRecord::service, Collectors.counting())));
    }

    /** Returns the slots of the endpoints of a service that are neither draining nor leaving. */
    public Map<EndpointId, Integer> availableSlots(ServiceName service, long nowNanos) {
        return lock.withLock(
                () ->
                        states.values().stream()
                                .map(EndpointState::record)
                                .filter(record -> record.service().equals(service))
                                .filter(record -> !isDrainingOrLeaving(record, nowNanos))
                                .collect(
                                        Collectors.toUnmodifiableMap(
                                                EndpointRecord::id, EndpointRecord::slots)));
    }

    /** Returns the ids of all endpoints. */
    public Set<EndpointId> ids() {
        return lock.withLock(() -> Set.copyOf(states.keySet()));
    }

    /** Returns the number of endpoints. */
    public int size() {
        return lock.withLock(states::size);
    }

    /** Selects an endpoint and counts the call as in flight there until {@link #release}. */
    public Selection select(SelectionRequest request, long nowNanos) {
        HostShares shares = fleet.shares();
        long nowMillis = clock.millis();
        EndpointPicker picker = newPicker(request, shares, nowNanos);
        return lock.withLock(
                () -> {
                    List<EndpointState> eligible = eligible(request, nowNanos);
                    if (eligible.isEmpty()) {
                        return new Selection.NoneEligible();
                    }
                    List<EndpointState> open = open(eligible, shares, nowMillis);
                    rate(request.service()).count(nowNanos);
                    if (open.isEmpty()) {
                        return new Selection.RateLimited(expectedWait(eligible, shares));
                    }
                    return pick(picker, eligible, open).toSelection();
                });
    }

    private EndpointPicker newPicker(SelectionRequest request, HostShares shares, long nowNanos) {
        return EndpointPicker.of(
                policy.get(), request, localZone, random, shares.ownShare(), nowNanos);
    }

    private EndpointPicker.Picked pick(
            EndpointPicker picker, List<EndpointState> eligible, List<EndpointState> open) {
        ServiceName service = picker.service();
        return picker.pick(eligible, open, ofService(service), rate(service));
    }

    private CallRate rate(ServiceName service) {
        return rates.computeIfAbsent(service, unused -> new CallRate());
    }

    /**
     * Returns the software version of the endpoint that {@link #select} would select, without
     * counting a call there; none when it would select none.
     */
    public Option<SoftwareVersion> versionToSelect(SelectionRequest request, long nowNanos) {
        HostShares shares = fleet.shares();
        long nowMillis = clock.millis();
        EndpointPicker picker = newPicker(request, shares, nowNanos);
        return lock.withLock(
                () -> {
                    List<EndpointState> eligible = eligible(request, nowNanos);
                    List<EndpointState> open = open(eligible, shares, nowMillis);
                    return open.isEmpty()
                            ? Option.none()
                            : Option.some(pick(picker, eligible, open).state().record().version());
                });
    }

    /** Returns the software versions of all endpoints of a service, also draining ones. */
    public Set<SoftwareVersion> versions(ServiceName service) {
        return lock.withLock(
                () ->
                        states.values().stream()
                                .map(EndpointState::record)
                                .filter(record -> record.service().equals(service))
                                .map(EndpointRecord::version)
                                .collect(Collectors.toUnmodifiableSet()));
    }

    private static List<EndpointState> open(
            List<EndpointState> eligible, HostShares shares, long nowMillis) {
        return eligible.stream().filter(state -> state.mayReceiveCall(shares, nowMillis)).toList();
    }

    /** Returns the mean time between the permits of this host at rate-limited endpoints. */
    private static Duration expectedWait(List<EndpointState> limited, HostShares shares) {
        double ownCallsPerSecond =
                limited.stream().mapToDouble(EndpointState::limitPerSecond).sum()
                        * shares.ownShare();
        return Duration.ofMillis((long) (1_000 / ownCallsPerSecond));
    }

    private List<EndpointState> eligible(SelectionRequest request, long nowNanos) {
        return states.values().stream()
                .filter(state -> isEligible(state, request, nowNanos))
                .toList();
    }

    private boolean isEligible(EndpointState state, SelectionRequest request, long nowNanos) {
        EndpointRecord record = state.record();
        return record.service().equals(request.service())
                && !isDrainingOrLeaving(record, nowNanos)
                && !request.excluded().contains(record.id())
                && request.version().forAll(record.version()::equals);
    }

    private boolean isDrainingOrLeaving(EndpointRecord record, long nowNanos) {
        return record.draining() || leaving.isLeaving(Incarnation.of(record), nowNanos);
    }

    /**
     * Records what an attempt showed about its endpoint: when the head of the response has arrived,
     * or when the attempt has failed or was cancelled before. Has no effect when the endpoint has
     * been removed.
     */
    public void recordObservation(EndpointId id, Observation observation, long nowNanos) {
        lock.run(
                () -> {
                    EndpointState state = states.get(id);
                    if (state == null) {
                        return;
                    }
                    applyObservation(state, observation, nowNanos);
                });
    }

    /** Records that bytes of an endpoint have arrived at this host. */
    public void recordHeard(EndpointId id, long nowNanos) {
        lock.run(() -> Option.of(states.get(id)).forEach(state -> state.recordHeard(nowNanos)));
    }

    /** Records that this host has opened a test connection to an endpoint. */
    public void recordConnected(EndpointId id, long nowNanos) {
        lock.run(() -> Option.of(states.get(id)).forEach(state -> state.recordConnected(nowNanos)));
    }

    /** Returns the time since bytes of an endpoint arrived last; none if none ever did. */
    public Option<Duration> timeSinceHeard(EndpointId id, long nowNanos) {
        return lock.withLock(
                () ->
                        Option.of(states.get(id))
                                .flatMap(EndpointState::heardAtNanos)
                                .map(heardAt -> Duration.ofNanos(nowNanos - heardAt)));
    }

    /** Returns the time since bytes of any endpoint of a service arrived last; none if never. */
    public Option<Duration> timeSinceHeard(ServiceName service, long nowNanos) {
        return lock.withLock(
                () ->
                        ofService(service)
                                .flatMap(EndpointState::heardAtNanos)
                                .map(heardAt -> nowNanos - heardAt)
                                .min()
                                .map(Duration::ofNanos));
    }

    /** Returns the endpoints that are neither draining nor leaving, with what is known of them. */
    public Vector<ObservedEndpoint> available(long nowNanos) {
        return lock.withLock(
                () ->
                        Vector.ofAll(states.values())
                                .filter(state -> !isDrainingOrLeaving(state.record(), nowNanos))
                                .map(EndpointState::observed));
    }

    /** Returns an endpoint that is neither draining nor leaving, if there is one of this id. */
    public Option<ObservedEndpoint> available(EndpointId id, long nowNanos) {
        return lock.withLock(
                () ->
                        Option.of(states.get(id))
                                .filter(state -> !isDrainingOrLeaving(state.record(), nowNanos))
                                .map(EndpointState::observed));
    }

    /**
     * Records whether this host can open connections to an endpoint; returns whether that was not
     * known before.
     */
    public boolean setReachable(EndpointId id, boolean reachable) {
        return lock.withLock(
                () -> {
                    EndpointState state = states.get(id);
                    if (state == null || state.isReachable() == reachable) {
                        return false;
                    }
                    state.setReachable(reachable);
                    return true;
                });
    }

    /**
     * Records the rate limit that a response of an endpoint states, none when it states none.
     * Returns the one before; for an endpoint that has been removed, the given one.
     */
    public Option<RateLimit> recordRateLimit(
            EndpointId id, Option<RateLimit> limit, long nowNanos) {
        return lock.withLock(
                () -> {
                    EndpointState state = states.get(id);
                    if (state == null) {
                        return limit;
                    }
                    Option<RateLimit> previous = state.rateLimit().map(StatedRateLimit::limit);
                    state.stateRateLimit(limit, nowNanos);
                    return previous;
                });
    }

    /**
     * Records that a response of an endpoint states that it is leaving. From then on, this start of
     * the endpoint is treated as draining, whatever its registration says.
     *
     * @param endpoint the registration by which the endpoint was selected
     * @return whether this was not known before
     */
    public boolean recordLeaving(EndpointRecord endpoint, long nowNanos) {
        return lock.withLock(
                () -> leaving.add(Incarnation.of(endpoint), this::isRegistered, nowNanos));
    }

    private boolean isRegistered(Incarnation incarnation) {
        EndpointState state = states.get(incarnation.id());
        return state != null && Incarnation.of(state.record()).equals(incarnation);
    }

    /**
     * Stops counting a call as in flight. Called once for each endpoint that {@link #select}
     * returned, when the attempt has ended: a stream uses its slot until its last event.
     */
    public void release(EndpointId id) {
        lock.run(
                () -> {
                    EndpointState state = states.get(id);
                    if (state != null) {
                        state.decrementInFlight();
                    }
                });
    }

    private static void applyObservation(
            EndpointState state, Observation observation, long nowNanos) {
        switch (observation) {
            case Observation.Answered(double latencyMillis) ->
                    state.recordResponse(latencyMillis, nowNanos);
            case Observation.Rejected() -> state.backOffUntil(nowNanos + REJECTED_BACKOFF_NANOS);
            case Observation.Failed() -> {
                int failures = Math.min(state.recordFailure(), 10);
                long backoffNanos = INITIAL_BACKOFF_NANOS << (failures - 1);
                state.backOffUntil(nowNanos + Math.min(backoffNanos, MAXIMUM_BACKOFF_NANOS));
            }
            case Observation.Inconclusive() -> {}
        }
    }
}
