package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Set;
import java.time.Duration;
import org.tamarackfold.id.SoftwareVersion;

/** What may be done with a request. */
public sealed interface Verdict {
    /** Nothing speaks against the request; it is sent like any other. */
    record Clear() implements Verdict {}

    /**
     * Endpoints have ended under the request, perhaps because of it: one copy may be tried at a
     * time.
     *
     * @param ends the endpoints that ended under it
     * @param sinceLastEnd the time since the last of these ends
     * @param quarantinedAt the software versions that must not run it
     */
    record Suspected(int ends, Duration sinceLastEnd, Set<SoftwareVersion> quarantinedAt)
            implements Verdict {}

    /**
     * The request crashes endpoints and must reach none.
     *
     * @param remaining the time until it is tried again
     */
    record Quarantined(Duration remaining) implements Verdict {}
}
