package org.tamarackfold.caller;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * The order in which an endpoint admits calls, from 0, the first, to 9. Calls of higher priority
 * come first; among equal ones those of programs that have started, so that these finish.
 */
public final class ProgramOrder {
    /** Callers of a program that is past its deadline gain little from it. */
    private static final int PAST_DEADLINE = 8;

    /** Latest order of a program that has started and is in time. */
    private static final int LATEST_OF_STARTED = 7;

    private ProgramOrder() {}

    /**
     * Returns the order of a call whose customer is within its share.
     *
     * @param priority the priority of the customer, or else of the route; 0 is the highest
     * @param started whether the call continues a program
     * @param remainingTime the time until the program should be finished; none without deadline
     */
    public static int of(int priority, boolean started, Option<Duration> remainingTime) {
        return of(priority, started, remainingTime, 0);
    }

    /**
     * Returns the order of a call.
     *
     * @param increase by how much later the call comes, because its customer is over its share; it
     *     never comes behind a program that is past its deadline
     */
    public static int of(
            int priority, boolean started, Option<Duration> remainingTime, int increase) {
        if (remainingTime.exists(remaining -> !remaining.isPositive())) {
            return PAST_DEADLINE;
        }
        // A route may state a negative priority.
        int ofPriority =
                switch (Math.max(0, priority)) {
                    case 0 -> 3;
                    case 1 -> 5;
                    default -> 7;
                };
        return started
                ? Math.min(LATEST_OF_STARTED, ofPriority - 1 + increase)
                : Math.min(PAST_DEADLINE, ofPriority + increase);
    }
}
