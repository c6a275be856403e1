package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.peer.EntryHost;

/**
 * The questions that decide a watch, to one source after the other.
 *
 * @param watch the watch
 * @param remaining the sources that were not asked yet
 * @param maximumAge the age of a confirmation up to which the next reply is taken
 * @param failure the failure of the watch at the service, when that was tried before
 * @param notInLog whether the log of a source does not reach back
 * @param outage whether the service was out of reach of a source
 */
record SourceRound(
        PendingWatch watch,
        Vector<EntryHost> remaining,
        Duration maximumAge,
        Option<Failure> failure,
        boolean notInLog,
        boolean outage) {
    /** Creates the round of a watch before the first question. */
    static SourceRound of(PendingWatch watch, Vector<EntryHost> sources, Option<Failure> failure) {
        return new SourceRound(watch, sources, FollowingPolicy.MAXIMUM_AGE, failure, false, false);
    }

    EntryHost source() {
        return remaining.head();
    }

    /** Returns the round after a reply that was not taken. */
    SourceRound next(boolean isNotInLog, boolean isOutage) {
        return new SourceRound(
                watch,
                remaining.tail(),
                FollowingPolicy.MAXIMUM_AGE_OF_OTHER,
                failure,
                notInLog || isNotInLog,
                outage || isOutage);
    }
}
