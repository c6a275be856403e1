package org.tamarackfold.settings;

import java.time.Duration;
import org.tamarackfold.time.Durations;

/**
 * How soon a change in the key-value service must be in force on every host. Bounds the waits and
 * pauses of the watches.
 *
 * @param recovery time after a disturbance in which the other bounds do not apply yet
 * @param release time from the acknowledgement of a release until all calls follow it
 * @param drain time from the acknowledgement that an endpoint is draining or gone until it receives
 *     no more calls
 * @param followers whether most entry hosts of a zone ask two of them for changes instead of
 *     watching the service
 */
public record PropagationBounds(
        Duration recovery, Duration release, Duration drain, boolean followers) {
    /** Bounds of a fleet whose settings state none. */
    public static final PropagationBounds DEFAULT =
            new PropagationBounds(
                    Duration.ofSeconds(3), Duration.ofSeconds(2), Duration.ofSeconds(2));

    /** Creates the bounds of a fleet in which every host watches the service. */
    public PropagationBounds(Duration recovery, Duration release, Duration drain) {
        this(recovery, release, drain, false);
    }

    /** Returns the shorter one of the bounds for releases and for draining endpoints. */
    public Duration shortest() {
        return Durations.min(release, drain);
    }
}
