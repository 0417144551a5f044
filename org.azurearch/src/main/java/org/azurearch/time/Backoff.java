package org.azurearch.time;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Retry delays with exponential growth and full jitter: each delay is uniformly random between zero
 * and a ceiling that doubles with every failure up to the maximum. Not thread-safe.
 */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final Duration mBase;
    private final Duration mMax;
    private final RandomGenerator mRandom;
    private int mFailures;

    /**
     * Creates a backoff with no failures counted.
     *
     * @param base the upper limit of the first delay
     * @param max the upper limit of all delays
     * @param random the source of randomness
     */
    public Backoff(Duration base, Duration max, RandomGenerator random) {
        mBase = base;
        mMax = max;
        mRandom = random;
    }

    /** Counts a failure and returns the delay before the next attempt. */
    public Duration nextDelay() {
        long ceiling = mBase.toMillis() << Math.min(mFailures, MAX_DOUBLINGS);
        mFailures++;
        long bounded = Math.min(Math.max(1L, ceiling), mMax.toMillis());
        return Duration.ofMillis(mRandom.nextLong(bounded + 1));
    }

    /** Resets the count of failures after a success. */
    public void reset() {
        mFailures = 0;
    }
}
