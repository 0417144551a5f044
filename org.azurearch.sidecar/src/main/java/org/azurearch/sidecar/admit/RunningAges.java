package org.azurearch.sidecar.admit;

/** The mean age of the requests that the backend server is running. Confined to one thread. */
public final class RunningAges {
    private static final double NANOS_PER_MILLI = 1e6;

    private long mOriginNanos;
    private double mStartedSum;
    private int mCount;

    /** Adds a request that starts to run. */
    public void started(long nowNanos) {
        if (mCount == 0) {
            mOriginNanos = nowNanos;
            mStartedSum = 0;
        }
        mStartedSum += nowNanos - mOriginNanos;
        mCount++;
    }

    /**
     * Removes a request that no longer runs.
     *
     * @param startedNanos when it started, as passed to {@link #started}
     */
    public void ended(long startedNanos) {
        mStartedSum -= startedNanos - mOriginNanos;
        mCount--;
    }

    /** Returns the mean age in milliseconds; 0 if nothing runs. */
    public double meanMillis(long nowNanos) {
        return mCount == 0 ? 0 : (nowNanos - mOriginNanos - mStartedSum / mCount) / NANOS_PER_MILLI;
    }
}
