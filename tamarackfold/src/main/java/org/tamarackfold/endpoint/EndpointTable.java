package org.tamarackfold.endpoint;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** The endpoints that have registered, with what this host has observed of them. */
public final class EndpointTable {
    /** First pause after a failure, in ns; doubles with each further one. */
    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(300).toNanos();

    /** Longest pause of an endpoint that keeps failing, in ns; below the restart time of most. */
    private static final long LONGEST_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Pause after an endpoint has answered that it is full, in ns; one short call frees a slot. */
    private static final long FULL_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

    private final TableLock lock = new TableLock(LockRank.ENDPOINTS);
    private final Map<EndpointId, EndpointState> states = new HashMap<>();
    private final AvailabilityZone ownZone;
    private final RandomGenerator random;

    /**
     * Creates an empty table.
     *
     * @param ownZone the availability zone of this host
     * @param random breaks ties between equal endpoints
     */
    public EndpointTable(AvailabilityZone ownZone, RandomGenerator random) {
        this.ownZone = ownZone;
        this.random = random;
    }

    /** Adds an endpoint or replaces what it has registered. */
    public void put(EndpointRecord record) {
        lock.run(
                () -> {
                    EndpointState state = states.get(record.id());
                    if (state == null) {
                        states.put(record.id(), new EndpointState(record));
                    } else {
                        state.update(record);
                    }
                });
    }

    /** Removes an endpoint whose registration has ended. */
    public Option<EndpointRecord> remove(EndpointId id) {
        return lock.locked(() -> Option.of(states.remove(id)).map(EndpointState::record));
    }

    /** Returns the registration of an endpoint. */
    public Option<EndpointRecord> get(EndpointId id) {
        return lock.locked(() -> Option.of(states.get(id)).map(EndpointState::record));
    }

    /** Returns, for each service, the number of endpoints that are not leaving. */
    public Map<ServiceName, Long> usable(Set<EndpointId> excluded) {
        return lock.locked(
                () ->
                        states.values().stream()
                                .map(EndpointState::record)
                                .filter(record -> !record.leaving())
                                .filter(record -> !excluded.contains(record.id()))
                                .collect(
                                        Collectors.groupingBy(
                                                EndpointRecord::service, Collectors.counting())));
    }

    /** Returns the ids of all endpoints. */
    public Set<EndpointId> ids() {
        return lock.locked(() -> Set.copyOf(states.keySet()));
    }

    /** Returns the number of endpoints. */
    public int size() {
        return lock.locked(states::size);
    }

    /** Chooses an endpoint and counts the call as in flight there. */
    public Selection choose(PlacementRequest request, long now) {
        return lock.locked(
                () -> {
                    EndpointState best = best(request, now);
                    if (best == null) {
                        return new Selection.NoneLeft();
                    }
                    best.begin();
                    return new Selection.Chosen(best.record(), best.inFlight());
                });
    }

    private EndpointState best(PlacementRequest request, long now) {
        double medianLatency = medianLatency(request.service());
        EndpointState preferred = preferred(request, now);
        EndpointState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (EndpointState state : states.values()) {
            if (!eligible(state, request)) {
                continue;
            }
            double cost =
                    Placement.cost(state, state == preferred, ownZone, medianLatency, now)
                            + random.nextDouble() * Placement.TIE_BREAK;
            if (cost < bestCost) {
                best = state;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Returns the endpoint that calls of the same affinity value share; null without one. */
    private EndpointState preferred(PlacementRequest request, long now) {
        if (request.affinity().isEmpty()) {
            return null;
        }
        String affinity = request.affinity().get();
        return states.values().stream()
                .filter(state -> eligible(state, request) && !state.isAvoided(now))
                .max(Comparator.comparingDouble(s -> Placement.rendezvous(affinity, s.record())))
                .orElse(null);
    }

    private static boolean eligible(EndpointState state, PlacementRequest request) {
        EndpointRecord record = state.record();
        return record.service().equals(request.service())
                && !record.leaving()
                && !request.excluded().contains(record.id());
    }

    private double medianLatency(ServiceName service) {
        double[] samples =
                states.values().stream()
                        .filter(state -> state.record().service().equals(service))
                        .mapToDouble(EndpointState::latencyMillis)
                        .filter(latency -> latency > 0)
                        .sorted()
                        .toArray();
        return samples.length == 0 ? 0 : samples[samples.length / 2];
    }

    /** Counts the end of a call and what it showed of the endpoint. */
    public void finished(EndpointId id, Observation observation, long now) {
        lock.run(
                () -> {
                    EndpointState state = states.get(id);
                    if (state == null) {
                        return;
                    }
                    state.end();
                    observe(state, observation, now);
                });
    }

    private static void observe(EndpointState state, Observation observation, long now) {
        switch (observation) {
            case Observation.Answered(double millis) -> state.succeeded(millis, now);
            case Observation.Full() -> state.avoidUntil(now + FULL_PAUSE_NANOS);
            case Observation.Failed() -> {
                int failures = Math.min(state.failed(), 10);
                long pause = FIRST_PAUSE_NANOS << (failures - 1);
                state.avoidUntil(now + Math.min(pause, LONGEST_PAUSE_NANOS));
            }
            case Observation.Nothing() -> {}
        }
    }
}
