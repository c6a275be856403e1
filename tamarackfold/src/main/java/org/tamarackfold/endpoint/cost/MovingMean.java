package org.tamarackfold.endpoint.cost;

/** Moving mean of samples with their mean absolute deviation. */
final class MovingMean {
    /**
     * Samples after which an old one counts little: enough that one slow call does not move the
     * mean much, few enough that a new kind of call is learned within a second or two.
     */
    private static final int WINDOW_SAMPLES = 32;

    private double mean;
    private double deviation;
    private int samples;

    void add(double sample) {
        samples = Math.min(WINDOW_SAMPLES, samples + 1);
        double difference = sample - mean;
        mean += difference / samples;
        if (samples > 1) {
            deviation += (Math.abs(difference) - deviation) / samples;
        }
    }

    /** Returns the mean; 0 without samples. */
    double mean() {
        return mean;
    }

    /** Returns the mean distance of a sample from the mean; 0 with fewer than two samples. */
    double deviation() {
        return deviation;
    }

    /** Returns the number of samples, up to the number that the mean covers. */
    int samples() {
        return samples;
    }
}
