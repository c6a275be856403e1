package org.tamarackfold.time;

import java.time.Duration;

/** Minimum and maximum of durations. */
public final class Durations {
    private Durations() {}

    /** Returns the shorter of two durations. */
    public static Duration min(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }

    /** Returns the longer of two durations. */
    public static Duration max(Duration left, Duration right) {
        return left.compareTo(right) >= 0 ? left : right;
    }
}
