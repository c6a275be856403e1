package org.tamarackfold.endpoint;

/** Result of choosing an endpoint for a call. */
public sealed interface Selection {
    /**
     * An endpoint was chosen and counts the call as in flight.
     *
     * @param endpoint the endpoint
     * @param inFlight the calls that this host now has there
     */
    record Chosen(EndpointRecord endpoint, int inFlight) implements Selection {}

    /** No endpoint of the allowed services is known, or all have been tried. */
    record NoneLeft() implements Selection {}
}
