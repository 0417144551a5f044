package org.azurearch.standin.backend;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Time that a backend server takes to process a request.
 *
 * @param mean the mean time
 * @param shape the distribution of the times
 */
public record ServiceTime(Duration mean, Shape shape) {
    /** No processing time: the server answers at once. */
    public static final ServiceTime NONE = new ServiceTime(Duration.ZERO, Shape.FIXED);

    /**
     * Longest time drawn, as a multiple of the mean, so that no request holds a slot indefinitely.
     */
    private static final double MAX_MEANS = 10.0;

    /** The distribution of service times. */
    public enum Shape {
        /** Always the mean. */
        FIXED,
        /** Exponentially distributed. */
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
