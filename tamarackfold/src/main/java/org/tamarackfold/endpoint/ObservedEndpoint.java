package org.tamarackfold.endpoint;

import io.vavr.control.Option;

/**
 * An endpoint with what this host knows of the path to it.
 *
 * @param record its registration
 * @param reachable whether this host can open connections to it, as far as it knows
 * @param heardAtNanos when bytes of it arrived last, in ns of {@link System#nanoTime()}; none if
 *     none ever did
 * @param connectedAtNanos when a test connection to it was opened last; none if none ever was
 */
public record ObservedEndpoint(
        EndpointRecord record,
        boolean reachable,
        Option<Long> heardAtNanos,
        Option<Long> connectedAtNanos) {
    /** Returns whether bytes of the endpoint have arrived since a time. */
    public boolean isHeardSince(long nanos) {
        return heardAtNanos.exists(heardAt -> heardAt - nanos >= 0);
    }

    /** Returns whether a test connection was opened since a time. */
    public boolean isConnectedSince(long nanos) {
        return connectedAtNanos.exists(connectedAt -> connectedAt - nanos >= 0);
    }
}
