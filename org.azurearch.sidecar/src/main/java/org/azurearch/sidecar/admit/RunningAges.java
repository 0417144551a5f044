package org.azurearch.sidecar.admit;

/** How long the requests that the backend server works on have been running, on average. */
public final class RunningAges {
    private static final double NANOS_PER_MILLI = 1e6;

    private long mOriginNanos;
    private double mStartedSum;
    private int mCount;

    /** A request begins to run. */
    public void started(long nowNanos) {
        if (mCount == 0) {
            mOriginNanos = nowNanos;
            mStartedSum = 0;
        }
        mStartedSum += nowNanos - mOriginNanos;
        mCount++;
    }

    /**
     * A request no longer runs.
     *
     * @param startedNanos when it began
     */
    public void ended(long startedNanos) {
        mStartedSum -= startedNanos - mOriginNanos;
        mCount--;
    }

    /** Returns the mean age in milliseconds; 0 when nothing runs. */
    public double meanMillis(long nowNanos) {
        return mCount == 0 ? 0 : (nowNanos - mOriginNanos - mStartedSum / mCount) / NANOS_PER_MILLI;
    }
}
