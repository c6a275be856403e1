package org.tamarackfold.endpoint;

/** What a host knows of the other hosts that send calls to the same endpoints. */
@FunctionalInterface
public interface FleetView {
    /** Returns the current shares of the hosts; called without a lock of the endpoint table. */
    HostShares shares();
}
