package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.keyvalue.KeyValueService;

/** The reply of an entry host that is asked for the changes after a revision. */
public sealed interface ChangesReply {
    /**
     * The changes after the revision, possibly none.
     *
     * @param changes in the order of revisions
     * @param asOf the revision up to which they are complete
     * @param confirmation how current that revision is
     */
    record Changes(Vector<KeyValueService.Change> changes, long asOf, Confirmation confirmation)
            implements ChangesReply {}

    /** The host no longer has all changes after the revision. */
    record Unavailable(Confirmation confirmation) implements ChangesReply {}

    /** The host has not read the service since it started. */
    record NotStarted() implements ChangesReply {}

    /**
     * Contact of a host with the service.
     *
     * @param age time since the service last confirmed the state of the host
     * @param outageAge time since the service was last out of reach; zero while it is, none when it
     *     never was
     */
    record Confirmation(Duration age, Option<Duration> outageAge) {}
}
