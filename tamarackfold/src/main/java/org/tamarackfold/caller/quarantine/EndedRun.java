package org.tamarackfold.caller.quarantine;

import org.tamarackfold.endpoint.Incarnation;

/**
 * An endpoint that ended while a request was under way there.
 *
 * @param exposureMillis how long the request had been there, in milliseconds; the shortest time if
 *     several copies of it were
 * @param endedAtNanos when the end was noticed, in ns of this host's monotonic clock
 */
public record EndedRun(Incarnation endpoint, long exposureMillis, long endedAtNanos) {}
