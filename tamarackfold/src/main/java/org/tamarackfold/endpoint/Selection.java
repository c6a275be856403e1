package org.tamarackfold.endpoint;

/** Result of selecting an endpoint for a call. */
public sealed interface Selection {
    /**
     * An endpoint was selected; the call counts as in flight there.
     *
     * @param inFlight the calls that this host has in flight there, including this one
     */
    record Selected(EndpointRecord endpoint, int inFlight) implements Selection {}

    /** No endpoint is eligible: each one is draining or excluded, or none is registered. */
    record NoneEligible() implements Selection {}
}
