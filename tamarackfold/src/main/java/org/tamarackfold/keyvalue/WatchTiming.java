package org.tamarackfold.keyvalue;

import java.time.Duration;
import org.tamarackfold.time.Durations;

/**
 * How long a watch waits, and for how long changes gather before the next one. Each change wakes
 * the watch of every host, and the number of changes grows with the number of hosts: without
 * gathering, the calls to the service grow with the square of the fleet.
 *
 * @param longPoll the wait of a watch call without changes; a connection that has gone silent is
 *     noticed only after it
 * @param gathering the pause between the changes of a watch and the next watch
 */
public record WatchTiming(Duration longPoll, Duration gathering) {
    /** Response timeout, reconnection and listing after a connection has gone silent. */
    static final Duration DETECTION_MARGIN = Duration.ofSeconds(2);

    private static final Duration SHORTEST_WAIT = Duration.ofSeconds(1);

    /** Longest wait that the service accepts. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

    /**
     * Pause for each host of the fleet: keeps the calls of one host about constant while every host
     * registers at the start.
     */
    private static final Duration GATHERING_PER_HOST = Duration.ofMillis(5);

    /** The pause takes at most this fraction of the time in which a change must be in force. */
    private static final int GATHERING_DIVISOR = 8;

    /**
     * Derives the timing from the bounds within which changes must be in force. The two do not add
     * up: a change that was acknowledged during a disturbance must be in force when {@code
     * recovery} has passed, so that a connection that has gone silent must be noticed by then.
     *
     * @param recovery the time after a disturbance in which {@code bound} does not apply yet
     * @param bound the time within which a change must be in force
     * @param hosts the number of hosts that watch
     */
    public static WatchTiming of(Duration recovery, Duration bound, int hosts) {
        Duration wait = recovery.minus(DETECTION_MARGIN);
        return new WatchTiming(
                Durations.min(LONGEST_WAIT, Durations.max(SHORTEST_WAIT, wait)),
                Durations.min(
                        GATHERING_PER_HOST.multipliedBy(hosts),
                        bound.dividedBy(GATHERING_DIVISOR)));
    }
}
