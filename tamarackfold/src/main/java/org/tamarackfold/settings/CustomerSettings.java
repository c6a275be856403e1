package org.tamarackfold.settings;

import java.time.Duration;

/**
 * How hosts treat customers; absent in settings of deployments without customers.
 *
 * @param withdrawal the age of the last confirmation of the release from which on withdrawn keys
 *     must not be served any more if {@code failClosed} is set
 * @param failClosed whether calls that need a key are refused beyond that age
 * @param limitWindow the length of the sliding windows in which the limits of customers are judged
 * @param limitOvershoot the share of a limit by which a window may exceed it
 * @param limitTolerance the calls by which a window may exceed its limit besides
 */
public record CustomerSettings(
        Duration withdrawal,
        boolean failClosed,
        Duration limitWindow,
        double limitOvershoot,
        int limitTolerance) {}
