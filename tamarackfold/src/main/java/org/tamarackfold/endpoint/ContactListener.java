package org.tamarackfold.endpoint;

/** Receives whether this host reaches any endpoint. */
public interface ContactListener {
    /**
     * Called when that has changed, at most once a second; calls are ordered.
     *
     * @param reachesEndpoints false while no endpoint of any service is in reach
     */
    void onContactChanged(boolean reachesEndpoints);
}
