package org.azurearch.standin.backend;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long a backend server works on a request.
 *
 * @param mean the mean
 * @param shape how the times are spread around the mean
 */
public record ServiceTime(Duration mean, Shape shape) {
    /** No time at all: the answer follows at once. */
    public static final ServiceTime NONE = new ServiceTime(Duration.ZERO, Shape.FIXED);

    /** Longest time drawn, in means, so that no request holds a slot for ever. */
    private static final double MAX_MEANS = 10.0;

    /** The spread of service times. */
    public enum Shape {
        /** Always the mean. */
        FIXED,
        /** Exponential. */
        EXPONENTIAL
    }

    /** Draws the time of one request, in nanoseconds. */
    public long sampleNanos(RandomGenerator random) {
        if (shape == Shape.FIXED) {
            return mean.toNanos();
        }
        double means = Math.min(MAX_MEANS, random.nextExponential());
        return (long) (mean.toNanos() * means);
    }
}
