package org.tamarackfold.endpoint.cost;

/** The rule by which one of the eligible endpoints is selected for a call. */
public sealed interface PlacementPolicy permits LearnedPlacement, PlacementPolicy.LeastInFlight {
    /**
     * The endpoint with the smallest share of its slots in use by this host, with a bonus for the
     * endpoint that the affinity key prefers.
     */
    record LeastInFlight() implements PlacementPolicy {}
}
